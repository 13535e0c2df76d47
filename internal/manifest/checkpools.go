package manifest

import (
	"fmt"
	"net/netip"
	"net/url"
)

func (c *checker) checkPools() {
	names := make(map[string]string)
	endpoints := make(map[string]int)
	for _, e := range c.m.Endpoints {
		endpoints[e.Pool]++
	}
	services := make(map[string]bool)
	for _, s := range c.m.Services {
		services[s.Pool] = true
	}
	for i, p := range c.m.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		c.name(at+".name", p.Name)
		c.unique(names, at+".name", p.Name)
		c.poolKind(at, p, services[p.Name])
		c.positive(at+".queue_limit", int64(p.QueueLimit))
		c.durationPositive(at+".timeout", p.Timeout)
		if p.Name != "" && endpoints[p.Name] == 0 {
			c.add(at, "pool %q has no endpoint", p.Name)
		}
	}
}

func (c *checker) poolKind(at string, p Pool, hasService bool) {
	switch p.Kind {
	case PoolModel:
		c.positive(at+".max_tokens", p.MaxTokens)
	case PoolService:
		if p.MaxTokens != 0 {
			c.add(at+".max_tokens", "a service pool has no tokens")
		}
		if !hasService {
			c.add(at, "service pool %q has no entry in services", p.Name)
		}
	case "":
		c.add(at+".kind", "missing")
	default:
		c.add(at+".kind", "%q is neither %q nor %q", p.Kind, PoolModel, PoolService)
	}
}

func (c *checker) checkEndpoints() {
	names, urls := make(map[string]string), make(map[string]string)
	for i, e := range c.m.Endpoints {
		at := fmt.Sprintf("endpoints[%d]", i)
		c.name(at+".name", e.Name)
		c.unique(names, at+".name", e.Name)
		c.endpointURL(at+".url", e.URL)
		c.unique(urls, at+".url", e.URL)
		c.name(at+".zone", e.Zone)
		c.positive(at+".max_in_flight", int64(e.MaxInFlight))
		c.notNegative(at+".cache_tokens", e.CacheTokens)
		pool := c.pools[e.Pool]
		if pool == nil {
			c.add(at+".pool", "there is no pool %q", e.Pool)
			continue
		}
		if pool.Kind == PoolService {
			c.noEngineFields(at, e)
		}
		c.engine(at+".engine", e.Engine)
	}
}

// noEngineFields reports settings of model engines on the endpoint of a service pool, where they have
// no effect.
func (c *checker) noEngineFields(at string, e Endpoint) {
	if e.CacheTokens > 0 {
		c.add(at+".cache_tokens", "a service server has no prefix cache")
	}
	if e.CanExport {
		c.add(at+".can_export", "a service server has no prefix cache")
	}
	if e.IgnoresFence {
		c.add(at+".ignores_fence", "a service server gets no orders")
	}
	if e.Engine.Managed() {
		c.add(at+".engine", "a service server gets no orders")
	}
}

func (c *checker) engine(at string, e Engine) {
	if !e.Managed() {
		if e.Version != "" || len(e.Adapters) > 0 || e.Role != "" {
			c.add(at+".model", "missing")
		}
		return
	}
	c.name(at+".model", e.Model)
	c.name(at+".version", e.Version)
	seen := make(map[string]string)
	for i, adapter := range e.Adapters {
		path := fmt.Sprintf("%s.adapters[%d]", at, i)
		c.name(path, adapter)
		c.unique(seen, path, adapter)
	}
	switch e.Role {
	case RoleMixed, RolePrefill, RoleDecode:
	case "":
		c.add(at+".role", "missing")
	default:
		c.add(at+".role", "%q is none of %q, %q and %q", e.Role, RoleMixed, RolePrefill, RoleDecode)
	}
}

// endpointURL requires an origin with an IP address, because instances do not resolve host names.
func (c *checker) endpointURL(path, text string) {
	if text == "" {
		c.add(path, "missing")
		return
	}
	u, err := url.Parse(text)
	if err != nil {
		c.add(path, "is not a valid URL")
		return
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		c.add(path, "scheme %q is neither http nor https", u.Scheme)
	}
	addr, err := netip.ParseAddr(u.Hostname())
	switch {
	case err != nil:
		c.add(path, "host %q is not an IP address", u.Hostname())
	case addr.IsUnspecified() || addr.IsMulticast():
		c.add(path, "address %s is unspecified or multicast", addr)
	}
	if port, err := netip.ParseAddrPort("127.0.0.1:" + u.Port()); err != nil || port.Port() == 0 {
		c.add(path, "port %q is not between 1 and 65535", u.Port())
	}
	if u.User != nil || (u.Path != "" && u.Path != "/") || u.RawQuery != "" || u.Fragment != "" {
		c.add(path, "want scheme, address and port only")
	}
}

func (c *checker) checkServices() {
	pools := make(map[string]string)
	for i, s := range c.m.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.unique(pools, at+".pool", s.Pool)
		switch pool := c.pools[s.Pool]; {
		case s.Pool == "":
			c.add(at+".pool", "missing")
		case pool == nil:
			c.add(at+".pool", "there is no pool %q", s.Pool)
		case pool.Kind == PoolModel:
			c.add(at+".pool", "pool %q is a model pool", s.Pool)
		}
		if len(s.Operations) == 0 {
			c.add(at+".operations", "missing")
		}
		names := make(map[string]string)
		for j, op := range s.Operations {
			path := fmt.Sprintf("%s.operations[%d]", at, j)
			c.name(path+".name", op.Name)
			c.unique(names, path+".name", op.Name)
			c.notNegative(path+".charge_cents", op.ChargeCents)
		}
	}
}

func (c *checker) checkOrders() {
	c.durationNotNegative("orders.fetch_interval", c.m.Orders.FetchInterval)
	c.durationNotNegative("orders.timeout", c.m.Orders.Timeout)
	for _, e := range c.m.Endpoints {
		if !e.Engine.Managed() {
			continue
		}
		if c.m.Orders.FetchInterval == 0 {
			c.add("orders.fetch_interval", "missing, but endpoint %q has a desired engine state", e.Name)
		}
		if c.m.Orders.Timeout == 0 {
			c.add("orders.timeout", "missing, but endpoint %q has a desired engine state", e.Name)
		}
		return
	}
}
