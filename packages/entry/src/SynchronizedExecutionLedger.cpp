#include "SynchronizedExecutionLedger.h"

#include <utility>

namespace jaylane::entry {

SynchronizedExecutionLedger::SynchronizedExecutionLedger(const VmContext& aContext,
                                                         policy::ExecutionLedger aLedger)
  : m_context(aContext)
  , m_ledger(std::move(aLedger))
{
}

std::string SynchronizedExecutionLedger::CurrentScope()
{
  std::lock_guard lock(m_mutex);
  const auto scope = m_ledger.CurrentScope(m_context.m_clock.Monotonic());
  return scope ? scope->ToString() : std::string();
}

policy::AdmissionResult SynchronizedExecutionLedger::Begin(const policy::ExecutionKey& aKey)
{
  std::lock_guard lock(m_mutex);
  return m_ledger.Begin(aKey, m_context.m_clock.Monotonic());
}

void SynchronizedExecutionLedger::Finish(const policy::ExecutionKey& aKey,
                                         const policy::ExecutionRecord& aRecord)
{
  std::lock_guard lock(m_mutex);
  m_ledger.Finish(aKey, aRecord, m_context.m_clock.Monotonic());
}

base::Result<policy::ScopeTransfer> SynchronizedExecutionLedger::Export(
  const policy::Incarnation& aRecipient)
{
  std::lock_guard lock(m_mutex);
  return m_ledger.Export(aRecipient, m_context.m_clock.Monotonic());
}

base::Status SynchronizedExecutionLedger::Import(const policy::ScopeTransfer& aTransfer)
{
  std::lock_guard lock(m_mutex);
  return m_ledger.Import(aTransfer, m_context.m_clock.Monotonic());
}

std::size_t SynchronizedExecutionLedger::size() const
{
  std::lock_guard lock(m_mutex);
  return m_ledger.size();
}

} // namespace jaylane::entry
