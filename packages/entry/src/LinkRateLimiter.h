#pragma once

#include "ConfigState.h"
#include "Directory.h"
#include "VmContext.h"
#include "jaylane/policy/LinkBudget.h"

#include <mutex>
#include <optional>
#include <string>

namespace jaylane::entry {

/// Limits what this VM sends on the links from its region to its share of their rates. Thread safe.
class LinkRateLimiter
{
public:
  explicit LinkRateLimiter(const VmContext& aContext);

  /// Applies the links of the settings and the number of entry VMs that share them. Changed limits
  /// start with empty budgets.
  void Apply(const Config& aConfig, const DirectoryView& aView);

  /// Takes bytes from the budget of a link.
  /// @param aToRegion region that bytes are sent to.
  /// @param aBulk whether only the bulk part of the link may be used.
  /// @param aWanted bytes ready to be sent.
  /// @return bytes that may be sent now.
  std::size_t Draw(const std::string& aToRegion, bool aBulk, std::size_t aWanted);

private:
  const VmContext& m_context;
  std::mutex m_mutex;
  std::uint64_t m_generation = 0;
  /// Largest number of VMs of this region in any list so far. VMs can have different lists, and
  /// with a smaller number the shares could add up to more than the rate of the link.
  std::uint32_t m_vmCount = 1;
  std::optional<policy::LinkBudget> m_budget;
};

} // namespace jaylane::entry
