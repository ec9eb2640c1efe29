package hitchedge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchingress"
	"citronhitch.example/citronhitch/hitchorigin"
)

// originPath is the path on which an instance says what it knows about the origin of a
// stream.
const originPath = "/v1/origin"

// maxOriginAnswerBytes limits an answer about the origin of a stream, which names a service and a version.
const maxOriginAnswerBytes = 16 << 10

// maxOriginsPerDatagram limits a datagram with origins to about a kilobyte.
const maxOriginsPerDatagram = 24

// originExchange returns the gateway's way to the other instances.
func (e *Edge) originExchange() hitchingress.OriginExchange {
	return hitchingress.OriginExchange{
		Share: e.shareOrigins, Ask: e.askOrigin, Recorded: e.recordedOrigin, RecordedVersions: e.recordedVersions, IsViewCurrent: e.isViewCurrent,
		IsAlone: func() bool { return len(e.otherInstances()) == 0 },
	}
}

// otherInstances returns the other instances in the view, also those of other regions:
// callers are directed to all.
func (e *Edge) otherInstances() []hitchfleet.Instance {
	var others []hitchfleet.Instance
	for _, i := range e.gateway.View().Instances() {
		if i.ID != e.Settings.Self.ID {
			others = append(others, i)
		}
	}
	return others
}

// shareOrigins sends origins to their homes, and to the primary hub with the next report.
func (e *Edge) shareOrigins(origins []hitchorigin.Origin) {
	e.origins.unsent.Add(origins...)
	socket := e.socket.Load()
	if socket == nil {
		return
	}
	others := e.otherInstances()
	byHome := make(map[hitchfleet.InstanceID][]hitchorigin.Origin)
	for _, o := range origins {
		for _, home := range hitchorigin.Homes(o.Stream, others, e.Settings.Self.ID) {
			byHome[home.ID] = append(byHome[home.ID], o)
		}
	}
	for _, i := range others {
		for list := byHome[i.ID]; len(list) > 0; {
			n := min(len(list), maxOriginsPerDatagram)
			e.send(socket, hitchdigest.Packet{Origins: list[:n]}, i)
			list = list[n:]
		}
	}
}

// homeAnswer is the answer of a home, and why there is none.
type homeAnswer struct {
	hitchorigin.Answer
	err error
}

// askOrigin asks the homes of a stream at once, and returns their answers until ctx ends, and how many
// have given none. The first record ends it.
func (e *Edge) askOrigin(ctx context.Context, stream hitchfleet.Key, route string) (answers []hitchorigin.Answer, silent int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	homes := hitchorigin.AskedHomes(stream, e.otherInstances(), e.Settings.Self.ID)
	received := make(chan homeAnswer, len(homes))
	for _, home := range homes {
		go func() {
			answer, err := e.fetchOrigin(ctx, home.PeerAddr, stream, route)
			if err != nil && ctx.Err() == nil {
				e.Log.Info("no answer about the origin of a stream", "From", home.ID, "Error", err)
			}
			received <- homeAnswer{answer, err}
		}()
	}
	for range homes {
		select {
		case answer := <-received:
			if answer.err == nil {
				answers = append(answers, answer.Answer)
			}
			if answer.Knowledge == hitchorigin.KnowsRecord {
				return answers, 0
			}
		case <-ctx.Done():
			return answers, len(homes) - len(answers)
		}
	}
	return answers, len(homes) - len(answers)
}

// fetchOrigin asks the instance at addr for the origin of a stream.
func (e *Edge) fetchOrigin(ctx context.Context, addr string, stream hitchfleet.Key, route string) (answer hitchorigin.Answer, err error) {
	query := url.Values{"Stream": {strconv.FormatUint(uint64(stream), 16)}, "Route": {route}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s", addr, originPath, query.Encode()), nil)
	if err != nil {
		return answer, err
	}
	res, err := e.peerClient.Do(r)
	if err != nil {
		return answer, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("unexpected status %d", res.StatusCode)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxOriginAnswerBytes)).Decode(&answer); err != nil {
		return hitchorigin.Answer{}, err
	}
	return answer, nil
}

// serveOrigin tells another instance what this one knows about the origin of a stream.
func (e *Edge) serveOrigin(w http.ResponseWriter, r *http.Request) {
	stream, err := strconv.ParseUint(r.URL.Query().Get("Stream"), 16, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	answer := e.gateway.AnswerOrigin(time.Now(), hitchfleet.Key(stream), r.URL.Query().Get("Route"))
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		e.Log.Warn("failed to send the origin of a stream", "To", r.RemoteAddr, "Error", err)
	}
}

// servePeers serves the other instances.
func (e *Edge) servePeers(w http.ResponseWriter, r *http.Request) {
	if hitchingress.IsRelayed(r.Header) {
		e.gateway.ServeRelayed(w, r)
		return
	}
	w.Header().Set(headerAnswers, r.URL.RequestURI())
	switch r.URL.Path {
	case originPath:
		e.serveOrigin(w, r)
	case versionsPath:
		e.serveVersions(w, r)
	default:
		e.serveView(w, r)
	}
}
