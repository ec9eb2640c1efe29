// Package hitchproof has no code of its own. Its tests compare docs/PROOF.md and
// docs/CAPACITY.md with the code: each test, benchmark and measurement that the
// pages name must exist, and each row that isn't proved must be in the page's own
// list of what isn't.
package hitchproof
