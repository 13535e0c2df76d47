package wire

import "time"

// EndpointRequest asks a peer to send a request to an endpoint that the sender does not reach. The replies are
// EndpointResponse, the body in any number of EndpointData, and EndpointEnd. An Error with CodeNotSent means that nothing
// was sent to the endpoint, one with CodeCutOff also that the peer sends nothing to any endpoint now; after any other Error the
// endpoint may have executed the request. With CodeEndpointEnded it broke the connection off and is not reached since.
type EndpointRequest struct {
	Endpoint  string              `msgpack:"e"` // ID
	Addr      string              `msgpack:"a"` // IP address and port
	RequestID string              `msgpack:"i"`
	Method    string              `msgpack:"m"`
	URI       string              `msgpack:"u"` // path and query
	Host      string              `msgpack:"h"`
	Header    map[string][]string `msgpack:"hd"` // as it is sent to the endpoint
	Body      []byte              `msgpack:"b"`
	Timeout   time.Duration       `msgpack:"t"` // time left for the request
}

// EndpointResponse is the head of the endpoint's response.
type EndpointResponse struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"hd"`
}

// EndpointData is a part of the body of the endpoint's response.
type EndpointData struct {
	Data []byte `msgpack:"d"`
}

// EndpointEnd means that the body is complete. If the endpoint breaks it off, an Error is sent instead.
type EndpointEnd struct{}

// EndpointProbe asks a peer whether an endpoint accepts its connections. The reply is Ack, or an Error with CodeNotSent,
// or with CodeCutOff if the peer reaches no endpoint.
type EndpointProbe struct {
	Endpoint string `msgpack:"e"` // ID
	Addr     string `msgpack:"a"` // IP address and port
}
