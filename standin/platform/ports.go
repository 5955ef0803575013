package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	port "github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

const (
	// weightChunk is the share of the weight limit that a reader takes at once.
	weightChunk = 64 << 10
	// weightQueueTime bounds the wait for one chunk among many readers.
	weightQueueTime = time.Hour
)

func (s *Server) routePorts(mux *http.ServeMux) {
	table, objects := memory.PortTable, memory.PortObjects
	mux.Handle("GET "+port.PathRow, s.serve(table, false, s.getRow))
	mux.Handle("GET "+port.PathRows, s.serve(table, false, s.listRows))
	mux.Handle("POST "+port.PathCommit, s.serve(table, true, s.commit))
	mux.Handle("GET "+port.PathObject, s.serve(objects, false, s.getObject))
	mux.Handle("PUT "+port.PathObject, s.serve(objects, true, s.putObject))
	mux.Handle("DELETE "+port.PathObject, s.serve(objects, true, s.deleteObject))
	mux.Handle("GET "+port.PathObjects, s.serve(objects, false, s.listObjects))
	mux.Handle("GET "+port.PathVMs, s.serve(memory.PortVMs, false, s.listVMs))
	mux.HandleFunc("GET "+port.PathWeights, s.openWeights)
}

func (s *Server) getRow(r *http.Request) (any, error) {
	return s.store.Table().Get(s.ctx, r.FormValue(port.ParamKey))
}

func (s *Server) listRows(r *http.Request) (any, error) {
	limit, err := strconv.Atoi(r.FormValue(port.ParamLimit))
	if err != nil {
		return nil, port.Invalid("limit is no number")
	}
	rows, err := s.store.Table().List(s.ctx, r.FormValue(port.ParamPrefix), r.FormValue(port.ParamAfter), limit)
	return port.RowsResponse{Rows: rows}, err
}

func (s *Server) commit(r *http.Request) (any, error) {
	var t port.Txn
	if err := decode(r, &t); err != nil {
		return nil, err
	}
	return nil, s.store.Table().Commit(s.ctx, t)
}

func (s *Server) getObject(r *http.Request) (any, error) {
	return s.store.Objects().Get(s.ctx, r.FormValue(port.ParamKey))
}

func (s *Server) putObject(r *http.Request) (any, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, invalid(err)
	}
	return nil, s.store.Objects().Put(s.ctx, r.URL.Query().Get(port.ParamKey), body)
}

func (s *Server) deleteObject(r *http.Request) (any, error) {
	return nil, s.store.Objects().Delete(s.ctx, r.URL.Query().Get(port.ParamKey))
}

func (s *Server) listObjects(r *http.Request) (any, error) {
	keys, err := s.store.Objects().List(s.ctx, r.FormValue(port.ParamPrefix))
	return port.ObjectsResponse{Keys: keys}, err
}

func (s *Server) listVMs(*http.Request) (any, error) {
	list, age, err := s.store.VMs().List(s.ctx)
	return port.VMsResponse{VMs: list, Age: age}, err
}

// openWeights streams a model version under the shared limit. A fault behind
// the effect loses the answer after the first chunk.
func (s *Server) openWeights(w http.ResponseWriter, r *http.Request) {
	c := s.counters[memory.PortWeights]
	c.called(false)
	fault := s.faults.next(memory.PortWeights, false)
	if !s.before(w, c, fault) {
		return
	}
	stream, err := s.store.Weights().Open(s.ctx, r.FormValue(port.ParamModel), r.FormValue(port.ParamVersion))
	if err != nil {
		s.reply(w, c, nil, err)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(stream.(memory.Stream).Size(), 10))
	buf := make([]byte, weightChunk)
	for {
		n, err := stream.Read(buf)
		if n == 0 || err != nil || httpserver.CallerOf(w).Gone() {
			return
		}
		wait, _ := s.weights.reserve(time.Now(), n)
		s.sleep(wait)
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		c.bytesOut.Inc(int64(n))
		if !s.after(w, c, fault) {
			return
		}
	}
}

func decode(r *http.Request, v any) error {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		return invalid(err)
	}
	return nil
}

func invalid(cause error) error {
	return merry.Prepend(port.ErrInvalid, cause.Error(), merry.NoCaptureStack())
}
