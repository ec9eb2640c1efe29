package hitchedge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpath"
	"citronhitch.example/citronhitch/hitchview"
)

// Intervals and sizes of the datagrams between instances.
const (
	// sendIntervalPerInstance is multiplied by the number of instances in the region,
	// so that a hub sends at most 200 datagrams per second, as far as maxSendInterval
	// allows.
	sendIntervalPerInstance = 5 * time.Millisecond
	minSendInterval         = 200 * time.Millisecond
	maxSendInterval         = 600 * time.Millisecond
	// maxDatagramBytes leaves room for the counts of a rollout with many routes.
	maxDatagramBytes = 16 << 10
	// newsDivisor limits how often news of requests that crash endpoints are sent, as a
	// divisor of the interval.
	newsDivisor = 2
)

// watchesStore reports whether this instance watches the store, as a hub or in place
// of the hubs.
func (e *Edge) watchesStore() bool {
	return e.currentRegion().roles.WatchesStore(e.Settings.Self.ID)
}

// exchangeDatagrams reports this instance's requests in flight to the hubs and
// receives datagrams, until ctx ends. While this instance is a hub, it also sends
// the sums of all reports to every instance of the region.
func (e *Edge) exchangeDatagrams(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp", e.Settings.Self.DatagramAddr)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	e.socket.Store(socket)
	// Closed before the return too, so that the address can be used again at once.
	defer func() { _ = socket.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	go e.readDatagrams(ctx, socket)
	go e.slotOwner.run(ctx)
	for ctx.Err() == nil {
		r := e.updateRoles(time.Now())
		e.sendReportAndDigests(socket, r)
		e.sendSuspicions(socket, r)
		e.sendQuotas(socket, r)
		e.sendOrigins(socket, r)
		e.sendRollouts(socket, r)
		e.removeSilent(ctx, r)
		e.sendUrgentUntil(ctx, socket, r, time.Now().Add(e.reportInterval(r)))
	}
	return nil
}

// sendInterval returns the interval between two reports or digests.
func sendInterval(instances int) time.Duration {
	return min(max(time.Duration(instances)*sendIntervalPerInstance, minSendInterval), maxSendInterval)
}

// movingIntervalPerInstance and minMovingInterval take the place of sendIntervalPerInstance and
// minSendInterval while a rollout moves the requests of a service, which takes seconds. A hub then
// sends at most 800 datagrams per second.
const (
	movingIntervalPerInstance = 1250 * time.Microsecond
	minMovingInterval         = 100 * time.Millisecond
)

// reportInterval returns the interval until the next report or digest. While a rollout moves all
// requests of a service to a part of its endpoints, the idle rest lowers the mean load and so the
// load bound, and loads that are older would lead to more requests above it.
func (e *Edge) reportInterval(r *region) time.Duration {
	interval := sendInterval(len(r.instances))
	if e.gateway.MovesRequests(time.Now()) {
		return min(max(time.Duration(len(r.instances))*movingIntervalPerInstance, minMovingInterval), interval)
	}
	return interval
}

// sendUrgentUntil sends cache updates and news of requests that crash endpoints as they arise,
// until a time.
func (e *Edge) sendUrgentUntil(ctx context.Context, socket *net.UDPConn, r *region, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	urgent, news := e.balancer.UrgentUpdates(), e.gateway.Quarantine.News()
	var isUrgentDue, areNewsDue <-chan time.Time
	for ctx.Err() == nil {
		select {
		case <-urgent:
			urgent, isUrgentDue = nil, time.After(e.sendCacheUpdates(socket, r))
		case <-isUrgentDue:
			urgent = e.balancer.UrgentUpdates()
		case <-news:
			e.sendSuspicions(socket, r)
			news, areNewsDue = nil, time.After(sendInterval(len(r.instances))/newsDivisor)
		case <-areNewsDue:
			news = e.gateway.Quarantine.News()
		case <-ctx.Done():
		}
	}
}

// sendReportAndDigests sends one report to each hub and, if this instance is a hub,
// the current digests. Empty reports are sent too, as they show that this instance
// is alive.
func (e *Edge) sendReportAndDigests(socket *net.UDPConn, r *region) {
	now := time.Now()
	report := e.balancer.Report()
	report.IsCutOff = e.gateway.Path.State(now) == hitchpath.CutOff
	self := e.Settings.Self.ID
	for _, hub := range r.roles.Hubs {
		if hub.ID != self {
			e.send(socket, hitchdigest.Packet{Report: &report}, hub)
			continue
		}
		e.reportTimes.RecordReport(now, self)
		e.cutOffs.RecordReport(now, report)
		e.aggregator.AddReport(now, report)
		e.sendDigests(socket, r.instances, now)
	}
	if !r.isHub(self) && r.roles.WatchesStore(self) && e.follower.KeepsUpWithStore() {
		status := e.hubStatus()
		e.send(socket, hitchdigest.Packet{Digest: &hitchdigest.Digest{From: self, HubStatus: &status}}, r.instances...)
	}
}

// hubStatus returns the status of this instance as a hub, without silent instances.
func (e *Edge) hubStatus() hitchdigest.HubStatus {
	return hitchdigest.HubStatus{
		From:             e.Settings.Self.ID,
		Zone:             e.Settings.Self.Zone,
		Revision:         e.gateway.View().Revision,
		IsStoreReachable: e.follower.KeepsUpWithStore(),
		ViewAddr:         e.Settings.Self.PeerAddr,
	}
}

// sendDigests applies the current digests to this instance and sends them to the other
// instances of the region, and to those that report to this hub.
func (e *Edge) sendDigests(socket *net.UDPConn, instances []hitchfleet.Instance, now time.Time) {
	status := e.hubStatus()
	status.Silence, status.CutOff = e.reportTimes.Silence(now, instances), e.cutOffs.Reported(now)
	e.election.RecordHubStatus(now, status)
	e.cutOffs.RecordHubStatus(now, status)
	e.liveness.RecordHubStatus(now, status)
	recipients := slices.Concat(instances, e.unlisted.Instances(now, instances))
	for _, digest := range e.aggregator.Digests(now, status) {
		e.balancer.ApplyDigest(now, digest)
		e.send(socket, hitchdigest.Packet{Digest: &digest}, recipients...)
	}
}

// send sends one datagram to each of the given instances except this one.
func (e *Edge) send(socket *net.UDPConn, packet hitchdigest.Packet, to ...hitchfleet.Instance) {
	data, err := packet.Encode()
	if err != nil {
		e.Log.Error("failed to encode datagram", "Error", err)
		return
	}
	for _, instance := range to {
		addr, err := net.ResolveUDPAddr("udp", instance.DatagramAddr)
		if instance.ID == e.Settings.Self.ID || err != nil {
			continue
		}
		e.write(socket, packet, data, addr.AddrPort())
	}
}

// sendTo sends one datagram to an address.
func (e *Edge) sendTo(socket *net.UDPConn, packet hitchdigest.Packet, addr netip.AddrPort) {
	data, err := packet.Encode()
	if err != nil {
		e.Log.Error("failed to encode datagram", "Error", err)
		return
	}
	e.write(socket, packet, data, addr)
}

// write sends an encoded datagram. One that can't be sent is treated as lost: the next one replaces
// it.
func (e *Edge) write(socket *net.UDPConn, packet hitchdigest.Packet, data []byte, addr netip.AddrPort) {
	if loses := e.losesDatagram.Load(); loses == nil || !(*loses)(packet) {
		// A socket for IPv4 refuses addresses of IPv4 in the form of IPv6.
		_, _ = socket.WriteToUDPAddrPort(data, netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()))
	}
}

// readDatagrams handles the datagrams of other instances until the socket is closed.
func (e *Edge) readDatagrams(ctx context.Context, socket *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := socket.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		packet, err := hitchdigest.Decode(buf[:n])
		if err != nil {
			e.Log.Warn("failed to decode datagram", "From", from, "Error", err)
			continue
		}
		if !e.strangers.admits(time.Now(), packet) {
			continue
		}
		if packet.Slot != nil {
			e.handleSlotMsg(time.Now(), packet.Slot, from.AddrPort())
			continue
		}
		if packet.PermitRequest != nil {
			e.answerPermit(time.Now(), *packet.PermitRequest, from)
		}
		if packet.PathRequest != nil {
			e.answerPath(*packet.PathRequest, from)
		}
		if packet.TurnRequest != nil {
			e.answerTurn(time.Now(), *packet.TurnRequest, from)
		}
		e.handlePacket(packet, from.String())
	}
}

// handlePacket handles a datagram that came from an address.
func (e *Edge) handlePacket(packet hitchdigest.Packet, from string) {
	now := time.Now()
	if packet.Report != nil {
		e.unlisted.RecordReport(now, packet.Report.From, from)
		e.reportTimes.RecordReport(now, packet.Report.From)
		e.cutOffs.RecordReport(now, *packet.Report)
		e.aggregator.AddReport(now, *packet.Report)
	}
	if packet.CacheUpdate != nil {
		e.handleCacheUpdate(*packet.CacheUpdate)
	}
	if packet.Suspicions != nil {
		e.gateway.ReceiveSuspicions(now, *packet.Suspicions, e.currentRegion().isHub(packet.Suspicions.From))
	}
	if packet.Quotas != nil {
		e.gateway.ReceiveQuotas(now, *packet.Quotas, e.currentRegion().isHub(packet.Quotas.From))
	}
	if packet.Holding != nil {
		e.permits.issuer.Hold(now, packet.Holding.Run, packet.Holding.From, packet.Holding.Holding)
	}
	if packet.PermitReply != nil {
		e.permits.questions.receive(packet.PermitReply.ID, packet.PermitReply.Permit(now))
	}
	if packet.PathReply != nil {
		e.pathQuestions.receive(packet.PathReply.ID, packet.PathReply.ReachesEndpoints)
	}
	if packet.TurnReply != nil {
		e.receiveTurn(now, *packet.TurnReply)
	}
	if len(packet.Origins) > 0 {
		e.receiveOrigins(now, packet.Origins)
	}
	if packet.RolloutCounts != nil {
		e.receiveRolloutCounts(now, *packet.RolloutCounts)
	}
	if packet.RolloutStops != nil {
		e.receiveRolloutStops(now, *packet.RolloutStops)
	}
	if packet.Digest != nil {
		e.handleDigest(now, *packet.Digest)
	}
}

// handleDigest applies a digest. One from an instance that isn't a hub as this
// instance sees it has sums of only a few instances, so that only its status counts.
func (e *Edge) handleDigest(now time.Time, digest hitchdigest.Digest) {
	isHub := e.currentRegion().isHub(digest.From)
	if isHub {
		e.balancer.ApplyDigest(now, digest)
		if e.currency.isSettled(now) { // a digest that was sent during a pause of this process is no news
			e.gateway.ContactRollouts(now)
		}
		e.rollouts.recordDigest(now, digest.From)
	}
	if digest.HubStatus == nil {
		return
	}
	status := *digest.HubStatus
	if e.strangers.lists(digest.From) {
		e.rollouts.recordStatus(digest.From, status.IsStoreReachable)
	}
	if isHub {
		e.cutOffs.RecordHubStatus(now, status)
		e.liveness.RecordHubStatus(now, status)
	}
	e.election.RecordHubStatus(now, status)
	e.follower.RecordHubStatus(hitchview.HubStatus{Addr: status.ViewAddr, Revision: status.Revision, IsStoreReachable: status.IsStoreReachable})
}
