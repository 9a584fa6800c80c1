package rest

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/justinas/alice"

	"corianderspur.example/corianderspur/internal/conf"
	"corianderspur.example/corianderspur/internal/entry"
	"corianderspur.example/corianderspur/internal/policy"
	"corianderspur.example/corianderspur/internal/shard"
)

// ConflictError tells an operator which configuration stands in place of the one that a change was made for.
type ConflictError struct {
	Current *policy.Document
}

// Error names the other change.
func (e *ConflictError) Error() string {
	return "conflict with change " + e.Current.ChangeID + " by " + e.Current.Who
}

// Administrator carries out what operators ask of an entry.
type Administrator interface {
	Apply(ctx context.Context, base uint64, d *policy.Document) (version uint64, err error)
	Config() *policy.Document
	History(ctx context.Context) ([]policy.Document, error)
	Status() entry.Status
	Strike(agent shard.ID)
}

// ApplyRequest asks to replace the configuration of version Base.
type ApplyRequest struct {
	Base     uint64           `json:"base_version"`
	Document *policy.Document `json:"configuration"`
}

// ApplyReply tells the version that a change was given.
type ApplyReply struct {
	Version uint64 `json:"version"`
}

// Refusal is the body of a response to an operator whose request was not carried out.
type Refusal struct {
	Error   string              `json:"error"`
	Fields  []policy.FieldError `json:"fields,omitempty"`
	Current *policy.Document    `json:"current,omitempty"`
}

// StrikeRequest names an incarnation of an agent that is gone for good.
type StrikeRequest struct {
	Agent shard.ID `json:"agent"`
}

// AdminHandler serves the operators' interface, the figures and the health of an entry.
type AdminHandler struct {
	admin  Administrator
	tokens []conf.Token
}

// NewAdminHandler creates the handler of the operators' interface with its filters; figures and health need no token.
func NewAdminHandler(a Administrator, tokens []conf.Token, figures http.Handler) http.Handler {
	h := &AdminHandler{admin: a, tokens: tokens}
	operators := http.NewServeMux()
	operators.HandleFunc("GET /v1/config", h.config)
	operators.HandleFunc("PUT /v1/config", h.operator(h.apply))
	operators.HandleFunc("GET /v1/config/history", h.operator(h.history))
	operators.HandleFunc("GET /v1/status", h.operator(h.status))
	operators.HandleFunc("POST /v1/strike", h.operator(h.strike))
	mux := http.NewServeMux()
	mux.Handle("/v1/", alice.New(limitBody, h.authenticate).Then(operators))
	mux.Handle("GET /metrics", figures)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", h.ready)
	return mux
}

type tokenKey struct{}

func (h *AdminHandler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		t := h.find(given)
		if t == nil {
			writeJSON(w, http.StatusUnauthorized, Refusal{Error: "unknown token"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tokenKey{}, t)))
	})
}

// find compares a token with all known ones in constant time.
func (h *AdminHandler) find(given string) *conf.Token {
	var found *conf.Token
	for i := range h.tokens {
		if subtle.ConstantTimeCompare([]byte(given), []byte(h.tokens[i].Token)) == 1 {
			found = &h.tokens[i]
		}
	}
	return found
}

func tokenOf(r *http.Request) *conf.Token {
	t, _ := r.Context().Value(tokenKey{}).(*conf.Token)
	return t
}

// operator lets only tokens through that are not limited to one tenant.
func (h *AdminHandler) operator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if t := tokenOf(r); t == nil || t.Tenant != "" {
			writeJSON(w, http.StatusForbidden, Refusal{Error: "this token is limited to one tenant"})
			return
		}
		next(w, r)
	}
}

func (h *AdminHandler) config(w http.ResponseWriter, r *http.Request) {
	d := *h.admin.Config()
	if tenant := tokenOf(r).Tenant; tenant != "" {
		d = d.ForTenant(tenant)
	}
	writeJSON(w, http.StatusOK, d)
}

func (h *AdminHandler) apply(w http.ResponseWriter, r *http.Request) {
	var in ApplyRequest
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, Refusal{Error: err.Error()})
		return
	}
	if in.Document == nil || in.Document.ChangeID == "" || len(in.Document.ChangeID) > MaxName || in.Document.Why == "" {
		writeJSON(w, http.StatusBadRequest, Refusal{Error: "configuration.change_id and configuration.why are needed"})
		return
	}
	in.Document.Who = tokenOf(r).Who
	if unknown := h.unknownZones(in.Document); len(unknown) > 0 {
		writeJSON(w, http.StatusBadRequest, Refusal{Error: "invalid configuration", Fields: unknown})
		return
	}
	version, err := h.admin.Apply(r.Context(), in.Base, in.Document)
	var invalid *policy.InvalidError
	var conflict *ConflictError
	switch {
	case errors.As(err, &invalid):
		writeJSON(w, http.StatusBadRequest, Refusal{Error: "invalid configuration", Fields: invalid.Fields})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, Refusal{Error: conflict.Error(), Current: conflict.Current})
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, Refusal{Error: err.Error()})
	default:
		writeJSON(w, http.StatusOK, ApplyReply{Version: version})
	}
}

// unknownZones returns an error for each availability zone that a document evacuates, the present one doesn't, and no entry or agent
// is in.
func (h *AdminHandler) unknownZones(d *policy.Document) (list []policy.FieldError) {
	if len(d.Evacuated) == 0 {
		return nil
	}
	status := h.admin.Status()
	known := status.Zones()
	for i, zone := range d.Evacuated {
		if !slices.Contains(known, zone) && !slices.Contains(h.admin.Config().Evacuated, zone) {
			list = append(list, policy.FieldError{
				Path: fmt.Sprintf("evacuated_zones[%d]", i), Reason: fmt.Sprintf("unknown availability zone %q; known are %s", zone, strings.Join(known, ", ")),
			})
		}
	}
	return list
}

func (h *AdminHandler) history(w http.ResponseWriter, r *http.Request) {
	changes, err := h.admin.History(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Refusal{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

func (h *AdminHandler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.admin.Status())
}

func (h *AdminHandler) strike(w http.ResponseWriter, r *http.Request) {
	var in StrikeRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Agent == "" {
		writeJSON(w, http.StatusBadRequest, Refusal{Error: "agent is needed"})
		return
	}
	h.admin.Strike(in.Agent)
	w.WriteHeader(http.StatusAccepted)
}

func (h *AdminHandler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.admin.Status().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
