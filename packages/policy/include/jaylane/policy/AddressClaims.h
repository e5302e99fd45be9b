#pragma once

#include "jaylane/policy/Fleet.h"

#include <map>
#include <string>
#include <vector>

namespace jaylane::policy {

/// Decides which of several entries with one address names the upstream that runs there.
/// Load pattern: an upstream crashes, its entry stays until several heartbeats are missed, and an
/// upstream of another service, zone or region registers with its address meanwhile.
///
/// An upstream that has ended writes nothing more, so the address belongs to the one whose entry
/// was written last. Clocks of upstreams, and so the starts of their incarnations, may differ by
/// more than the time after which an address is used again, and do not count. An entry that states
/// a wrong address takes another upstream out of use until that one writes again or the wrong entry
/// ends, which it does after as many heartbeats unless its writer goes on.
///
/// @param aEntries entries that may name an upstream to use.
/// @return by the id of each upstream whose address has passed on: the id of the one that runs
///         there. Entries with the same revision do not supersede each other.
std::map<std::string, std::string> SupersededUpstreams(
  const std::vector<const Upstream*>& aEntries);

} // namespace jaylane::policy
