#include "jaylane/policy/ExecutionLedger.h"

#include "jaylane/policy/ExecutionError.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <xxhash.h>

namespace jaylane::policy {

using base::MonotonicTime;

std::size_t ExecutionLedger::NonceHash::operator()(const Nonce& aNonce) const
{
  return XXH3_64bits(aNonce.data(), aNonce.size());
}

base::Result<ExecutionLedger> ExecutionLedger::Make(const ExecutionLedgerOptions& aOptions,
                                                    const Incarnation& aOwn,
                                                    MonotonicTime aNow)
{
  const auto zero = std::chrono::milliseconds::zero();
  if (aOptions.m_epochLength <= zero || aOptions.m_keyLifetime <= zero ||
      aOptions.m_recordRetention <= zero || aOptions.m_maxKeys == 0) {
    return base::Error{ ExecutionErrc::InvalidOptions, "times and sizes must be positive" };
  }
  return ExecutionLedger(aOptions, aOwn, aNow);
}

ExecutionLedger::ExecutionLedger(const ExecutionLedgerOptions& aOptions,
                                 const Incarnation& aOwn,
                                 MonotonicTime aNow)
  : m_options(aOptions)
  , m_own(aOwn)
  , m_latest(aNow)
  , m_currentUntil(aNow)
{
}

ExecutionLedger::Nonce ExecutionLedger::Pack(std::string_view aNonce)
{
  assert(!aNonce.empty() && aNonce.size() <= ExecutionKey::kMaxNonceBytes);
  Nonce packed{};
  std::copy_n(aNonce.begin(), std::min(aNonce.size(), packed.size()), packed.begin());
  return packed;
}

std::string ExecutionLedger::Unpack(const Nonce& aNonce)
{
  return { aNonce.data(), strnlen(aNonce.data(), aNonce.size()) };
}

void ExecutionLedger::AdvanceTo(MonotonicTime aNow)
{
  m_latest = std::max(m_latest, aNow);
  for (auto epoch = m_epochs.begin(); epoch != m_epochs.end();) {
    // A running key must still find its record when it finishes.
    if (m_latest < epoch->second.m_acceptUntil + m_options.m_recordRetention ||
        epoch->second.m_running != 0) {
      ++epoch;
      continue;
    }
    m_size -= epoch->second.m_keys.size();
    epoch = m_epochs.erase(epoch);
  }
}

std::optional<ExecutionScope> ExecutionLedger::CurrentScope(MonotonicTime aNow)
{
  AdvanceTo(aNow);
  if (IsSealed()) {
    return std::nullopt;
  }
  ExecutionScope scope{ m_own, m_currentEpoch };
  const auto current = m_epochs.find(scope);
  const bool isOver = m_latest >= m_currentUntil;
  const bool mayReplace =
    current != m_epochs.end() && current->second.m_closed && m_size < m_options.m_maxKeys;
  if (isOver || mayReplace) {
    scope.m_epoch = ++m_currentEpoch;
    m_currentUntil = m_latest + m_options.m_epochLength;
    m_epochs[scope].m_acceptUntil = m_currentUntil + m_options.m_keyLifetime;
  }
  return scope;
}

AdmissionResult ExecutionLedger::Begin(const ExecutionKey& aKey, MonotonicTime aNow)
{
  AdvanceTo(aNow);
  const auto epoch = m_epochs.find(aKey.m_scope);
  if (epoch == m_epochs.end()) {
    const Incarnation& owner = aKey.m_scope.m_incarnation;
    const bool isOurs = owner == m_own || m_imported.contains(owner);
    return { isOurs ? Admission::Expired : Admission::Foreign, {} };
  }
  const Nonce nonce = Pack(aKey.m_nonce);
  const auto known = epoch->second.m_keys.find(nonce);
  if (known == epoch->second.m_keys.end()) {
    return BeginNew(epoch->second, nonce);
  }
  if (known->second.m_state == KeyState::Running) {
    return { Admission::Running, {} };
  }
  return { Admission::Finished, known->second };
}

AdmissionResult ExecutionLedger::BeginNew(Epoch& aEpoch, const Nonce& aNonce)
{
  if (IsSealed()) {
    return { Admission::Sealed, {} };
  }
  if (m_latest >= aEpoch.m_acceptUntil) {
    return { Admission::Expired, {} };
  }
  if (m_size >= m_options.m_maxKeys) {
    // Without a record of the refused key, only a closed epoch keeps a delayed copy of it from
    // running after the caller was told not-run.
    aEpoch.m_closed = true;
  }
  if (aEpoch.m_closed) {
    return { Admission::RefusedFull, {} };
  }
  aEpoch.m_keys.emplace(aNonce, ExecutionRecord{});
  ++aEpoch.m_running;
  ++m_size;
  return { Admission::Run, {} };
}

void ExecutionLedger::Finish(const ExecutionKey& aKey,
                             const ExecutionRecord& aRecord,
                             MonotonicTime aNow)
{
  assert(aRecord.m_state != KeyState::Running);
  const auto epoch = m_epochs.find(aKey.m_scope);
  if (epoch == m_epochs.end()) {
    assert(!"Finish without Begin");
    return;
  }
  const auto known = epoch->second.m_keys.find(Pack(aKey.m_nonce));
  if (known != epoch->second.m_keys.end() && known->second.m_state == KeyState::Running) {
    known->second = aRecord;
    --epoch->second.m_running;
  }
  AdvanceTo(aNow);
}

TransferredEpoch ExecutionLedger::ExportEpoch(const ExecutionScope& aScope,
                                              const Epoch& aEpoch) const
{
  const auto left = std::max(aEpoch.m_acceptUntil - m_latest, MonotonicTime::duration::zero());
  TransferredEpoch exported{
    aScope, std::chrono::duration_cast<std::chrono::milliseconds>(left), aEpoch.m_closed, {}
  };
  exported.m_keys.reserve(aEpoch.m_keys.size());
  for (const auto& [nonce, record] : aEpoch.m_keys) {
    const bool isRunning = record.m_state == KeyState::Running;
    exported.m_keys.push_back(
      { Unpack(nonce), isRunning ? ExecutionRecord{ KeyState::Unknown, 0 } : record });
  }
  return exported;
}

base::Result<ScopeTransfer> ExecutionLedger::Export(const Incarnation& aRecipient,
                                                    MonotonicTime aNow)
{
  AdvanceTo(aNow);
  if (m_recipient && *m_recipient != aRecipient) {
    return base::Error{ ExecutionErrc::Sealed, "already exported to another peer" };
  }
  m_recipient = aRecipient;
  ScopeTransfer transfer{ aRecipient, m_own, {} };
  for (const auto& [scope, epoch] : m_epochs) {
    transfer.m_epochs.push_back(ExportEpoch(scope, epoch));
  }
  return transfer;
}

base::Result<std::size_t> ExecutionLedger::CountKeys(const ScopeTransfer& aTransfer)
{
  std::size_t count = 0;
  for (const TransferredEpoch& epoch : aTransfer.m_epochs) {
    for (const TransferredKey& key : epoch.m_keys) {
      const auto text = ExecutionKey{ epoch.m_scope, key.m_nonce }.ToString();
      if (!ParseRequestKey(text) || key.m_record.m_state == KeyState::Running) {
        return base::Error{ ExecutionErrc::MalformedKey, "in a scope transfer" };
      }
      ++count;
    }
  }
  return count;
}

base::Status ExecutionLedger::Import(const ScopeTransfer& aTransfer, MonotonicTime aNow)
{
  AdvanceTo(aNow);
  if (aTransfer.m_recipient != m_own || aTransfer.m_exporter == m_own) {
    return base::Error{ ExecutionErrc::WrongRecipient, {} };
  }
  if (m_imported.contains(aTransfer.m_exporter)) {
    return base::Success{};
  }
  if (IsSealed()) {
    return base::Error{ ExecutionErrc::Sealed, {} };
  }
  const auto count = CountKeys(aTransfer);
  if (!count) {
    return count.GetError();
  }
  if (m_size + *count > m_options.m_maxKeys || m_imported.size() >= m_options.m_maxImports) {
    return base::Error{ ExecutionErrc::Full, {} };
  }
  m_imported.insert(aTransfer.m_exporter);
  for (const TransferredEpoch& epoch : aTransfer.m_epochs) {
    ImportEpoch(epoch);
  }
  return base::Success{};
}

void ExecutionLedger::ImportEpoch(const TransferredEpoch& aTransferred)
{
  const auto [epoch, isNew] = m_epochs.try_emplace(aTransferred.m_scope);
  if (!isNew) {
    return;
  }
  // The delay of the message only prolongs the epoch, which is safe: the exporter is sealed.
  epoch->second.m_acceptUntil = m_latest + aTransferred.m_remaining;
  epoch->second.m_closed = aTransferred.m_closed;
  for (const TransferredKey& key : aTransferred.m_keys) {
    m_size += epoch->second.m_keys.emplace(Pack(key.m_nonce), key.m_record).second ? 1 : 0;
  }
}

} // namespace jaylane::policy
