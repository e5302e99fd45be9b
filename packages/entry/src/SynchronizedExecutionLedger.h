#pragma once

#include "VmContext.h"
#include "jaylane/policy/ExecutionLedger.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace jaylane::entry {

/// Thread-safe ExecutionLedger of this VM.
class SynchronizedExecutionLedger
{
public:
  SynchronizedExecutionLedger(const VmContext& aContext, policy::ExecutionLedger aLedger);

  /// @return text of the scope for lookups; empty once the scopes were handed over.
  std::string CurrentScope();

  policy::AdmissionResult Begin(const policy::ExecutionKey& aKey);

  /// Records the end of a key that Begin() admitted.
  void Finish(const policy::ExecutionKey& aKey, const policy::ExecutionRecord& aRecord);

  /// @param aRecipient incarnation of the peer that takes over.
  base::Result<policy::ScopeTransfer> Export(const policy::Incarnation& aRecipient);
  base::Status Import(const policy::ScopeTransfer& aTransfer);

  /// @return number of keys held.
  std::size_t size() const;

private:
  const VmContext& m_context;
  mutable std::mutex m_mutex;
  policy::ExecutionLedger m_ledger;
};

} // namespace jaylane::entry
