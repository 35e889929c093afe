package api

import (
	"github.com/valyala/fasthttp"

	"switchshore.example/switchshore/internal/peer"
	"switchshore.example/switchshore/wire"
)

// submit takes a user's job.
func (s *Server) submit(rc *fasthttp.RequestCtx) {
	job, err := wire.ParseJob(rc.PostBody())
	if err != nil {
		refuse(rc, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.do(rc, peer.NewSubmitCall(job))
}

// job queries or cancels a job.
func (s *Server) job(rc *fasthttp.RequestCtx, op peer.Operation, id string) {
	if !wire.ValidID(id) {
		refuse(rc, fasthttp.StatusNotFound, "no such job")
		return
	}
	s.do(rc, peer.Call{Op: op, Job: id})
}
