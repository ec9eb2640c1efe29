package hitchbalance

import "citronhitch.example/citronhitch/hitchfleet"

// VersionConstraint limits a request to the endpoints of one version of their software.
// The zero value allows any version.
type VersionConstraint struct {
	version string
	isSet   bool
	isNone  bool
}

// OnlyVersion returns the constraint that allows one version, which may be empty.
func OnlyVersion(version string) VersionConstraint {
	return VersionConstraint{version: version, isSet: true}
}

// NoVersion returns the constraint that allows no endpoint, as no version is known to fit.
func NoVersion() VersionConstraint { return VersionConstraint{isNone: true} }

// allows reports whether the version and the group of an endpoint fit a request.
func (r Request) allows(e hitchfleet.Endpoint) bool {
	return r.Version.Allows(e) && (r.Group == nil || r.Group(e))
}

// Allows reports whether an endpoint may get the request.
func (c VersionConstraint) Allows(e hitchfleet.Endpoint) bool {
	return !c.isNone && (!c.isSet || e.Version == c.version)
}
