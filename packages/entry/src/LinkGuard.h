#pragma once

#include "ConfigState.h"
#include "Directory.h"
#include "VmContext.h"
#include "jaylane/policy/LinkBudget.h"

#include <mutex>
#include <optional>
#include <string>

namespace jaylane::entry {

/// This VM's shares of the links from its region, as configured. Thread safe.
class LinkGuard
{
public:
  explicit LinkGuard(const VmContext& aContext);

  /// Takes the links of the settings and the number of entry VMs that share them. Budgets whose
  /// limits have changed start empty.
  void Apply(const Config& aConfig, const DirectoryView& aView);

  /// @param aToRegion region that bytes are sent to.
  /// @param aBulk whether only the bulk part of the link may be used.
  /// @param aWanted bytes ready to be sent.
  /// @return bytes that may be sent now.
  std::size_t Acquire(const std::string& aToRegion, bool aBulk, std::size_t aWanted);

private:
  const VmContext& m_context;
  std::mutex m_mutex;
  std::uint64_t m_generation = 0;
  /// Most VMs of this region seen at a time. Views of the list differ between VMs, and a smaller
  /// number would make the shares add up to more than the link.
  std::uint32_t m_vmCount = 1;
  std::optional<policy::LinkBudget> m_budget;
};

} // namespace jaylane::entry
