package api

import (
	"encoding/json"
	"net/http"
	"slices"

	"ragwortstile/internal/manifest"
)

func (f *Frontend) healthz(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (f *Frontend) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := f.backend.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (f *Frontend) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	f.backend.WriteMetrics(w)
}

func (f *Frontend) status(w http.ResponseWriter, _ *http.Request, c caller) {
	writeJSON(w, f.backend.Status(c.teamName()))
}

// modelEntry and modelList are the JSON form of a list of models that client libraries expect.
type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// models lists the models that the team's duties may use.
func (f *Frontend) models(w http.ResponseWriter, _ *http.Request, c caller) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, p := range c.manifest.Pools {
		if p.Kind == manifest.PoolModel && mayUsePool(c, p.Name) {
			list.Data = append(list.Data, modelEntry{ID: p.Name, Object: "model"})
		}
	}
	writeJSON(w, list)
}

func mayUsePool(c caller, pool string) bool {
	for _, d := range c.manifest.Duties {
		if slices.Contains(d.Teams, c.team.Name) && slices.Contains(d.Pools, pool) {
			return true
		}
	}
	return false
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}
