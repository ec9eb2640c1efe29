package hitchclaim

import "time"

// BindingLife is how long a caller's own key is bound to a minted one.
const BindingLife = time.Hour
