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

  /// @return the scope to name in lookup responses; empty once the scopes were handed over.
  std::string CurrentScope();

  /// @return whether a request with this key may run.
  policy::AdmissionResult Begin(const policy::ExecutionKey& aKey);

  /// Records the outcome of a request that Begin() admitted.
  void Finish(const policy::ExecutionKey& aKey, const policy::ExecutionRecord& aRecord);

  /// Stops admission and exports the keys of this VM's scopes.
  /// @param aRecipient incarnation of the peer that takes over.
  base::Result<policy::ScopeTransfer> Export(const policy::Incarnation& aRecipient);
  /// Takes over the scopes of a stopped VM.
  base::Status Import(const policy::ScopeTransfer& aTransfer);

  /// @return number of keys held.
  std::size_t size() const;

private:
  const VmContext& m_context;
  mutable std::mutex m_mutex;
  policy::ExecutionLedger m_ledger;
};

} // namespace jaylane::entry
