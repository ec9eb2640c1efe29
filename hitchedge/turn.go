package hitchedge

import (
	"context"
	"net"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchquarantine"
)

// askTurn asks for a turn of a trait. If no owner responds, this instance gives the turns of
// its own requests.
func (e *Edge) askTurn(ctx context.Context, trait hitchquarantine.Trait) hitchquarantine.Turn {
	tracker := &e.gateway.Quarantine
	decide := func(now time.Time) hitchquarantine.Turn { return tracker.TakeTurn(now, trait) }
	turn, ok := askOwner(ctx, e, question[hitchquarantine.Turn]{
		about: "turn", key: trait.Key(), questions: &e.turns,
		packet: func(id uint32) hitchdigest.Packet {
			suspicion := tracker.Suspicion(time.Now(), trait)
			return hitchdigest.Packet{TurnRequest: &hitchquarantine.TurnRequestMsg{ID: id, From: e.Settings.Self.ID, Suspicion: suspicion}}
		},
		decide: decide,
	})
	now := time.Now()
	switch {
	case ok:
		return turn
	case ctx.Err() != nil:
		return hitchquarantine.Turn{AvailableAt: now}
	}
	return decide(now)
}

// answerTurn answers the question of another instance.
func (e *Edge) answerTurn(now time.Time, m hitchquarantine.TurnRequestMsg, from *net.UDPAddr) {
	socket := e.socket.Load()
	if socket == nil {
		return
	}
	e.gateway.ReceiveSuspicions(now, m.Suspicions(), false)
	tracker, trait := &e.gateway.Quarantine, m.Suspicion.Trait
	reply := tracker.TakeTurn(now, trait).Reply(now, m.ID, e.Settings.Self.ID, tracker.Suspicion(now, trait))
	e.sendTo(socket, hitchdigest.Packet{TurnReply: &reply}, from.AddrPort())
}

// receiveTurn passes on the answer of another instance.
func (e *Edge) receiveTurn(now time.Time, m hitchquarantine.TurnReplyMsg) {
	e.gateway.ReceiveSuspicions(now, m.Suspicions(), false)
	e.turns.receive(m.ID, m.Turn(now))
}
