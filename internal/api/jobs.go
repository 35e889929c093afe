package api

import (
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// handleSubmission handles the submission of a job by a user.
func (s *Server) handleSubmission(rc *fasthttp.RequestCtx) {
	job, err := wire.ParseJob(rc.PostBody())
	if err != nil {
		respondError(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.serveCall(rc, peer.NewSubmitCall(job))
}

// handleJob handles a request to query or cancel a job.
func (s *Server) handleJob(rc *fasthttp.RequestCtx, op peer.Operation, id string) {
	if !wire.ValidID(id) {
		respondError(rc, fasthttp.StatusNotFound, "no such job")
		return
	}
	s.serveCall(rc, peer.Call{Op: op, Job: id})
}
