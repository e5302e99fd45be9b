#pragma once

#include "jaylane/base/Clock.h"
#include "jaylane/policy/ExecutionKey.h"
#include "jaylane/policy/ScopeTransfer.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace jaylane::policy {

/// Answer to a request with a scoped key.
enum class Admission
{
  /// Run the request now; the key is recorded as running. Returned at most once for a key.
  Run,
  /// An earlier copy is running.
  Running,
  /// An earlier copy has finished; the record has its outcome.
  Finished,
  /// The ledger is full. The outcome is not-run, also for later copies, because the epoch accepts
  /// no unseen key any more. The caller has to use a key of a new scope.
  RefusedFull,
  /// The epoch is over or was never issued. The outcome is unknown, as the key may have run.
  Expired,
  /// The scope belongs to another incarnation. Forward the request to it, or answer unknown.
  Foreign,
  /// The scope was transferred to a peer. Forward the request to it, or answer unknown.
  Sealed,
};

struct AdmissionResult
{
  Admission m_admission = Admission::Foreign;
  /// Only for Admission::Finished.
  ExecutionRecord m_record;
};

struct ExecutionLedgerOptions
{
  /// How long lookups return the same epoch.
  std::chrono::milliseconds m_epochLength{ std::chrono::minutes{ 5 } };
  /// How long after that keys of the epoch may start: the lifetime of a lookup response plus the
  /// time within which callers may resend.
  std::chrono::milliseconds m_keyLifetime{ std::chrono::minutes{ 2 } };
  /// How long records are kept after that, only to answer repeated requests.
  std::chrono::milliseconds m_recordRetention{ std::chrono::minutes{ 1 } };
  /// Largest number of keys, including imported ones.
  std::size_t m_maxKeys = 1 << 16;
  /// Largest number of transfers imported during the life of the process.
  std::size_t m_maxImports = 1024;
};

/// Admits each key of this process's scopes, and of those it imported, at most once. A record is
/// never dropped while its epoch accepts keys, and an epoch that has stopped accepting keys never
/// starts again, so dropping its records afterwards cannot lead to a second run. Not thread safe.
class ExecutionLedger
{
public:
  /// @param aOptions limits; all must be positive.
  /// @param aOwn random identity of this process.
  /// @param aNow start of the first epoch.
  /// @return the ledger, or InvalidOptions.
  static base::Result<ExecutionLedger> Make(const ExecutionLedgerOptions& aOptions,
                                            const Incarnation& aOwn,
                                            base::MonotonicTime aNow);

  /// Starts the next epoch if the current one is over, or was closed while the ledger was full and
  /// there is room again.
  /// @return the scope to return with a lookup, or nothing once sealed.
  std::optional<ExecutionScope> CurrentScope(base::MonotonicTime aNow);

  /// Decides whether a request may run. A time before the latest one seen counts as the latest.
  AdmissionResult Begin(const ExecutionKey& aKey, base::MonotonicTime aNow);

  /// Records the outcome of a key for which Begin() answered Run.
  /// @param aRecord any state but Running.
  void Finish(const ExecutionKey& aKey, const ExecutionRecord& aRecord, base::MonotonicTime aNow);

  /// Seals the ledger, which then admits no unseen key, and returns what a peer needs to continue.
  /// Further calls return the same scopes to the same recipient. Any other recipient is refused,
  /// even if the first never responded. Keys that are still running are transferred as unknown.
  /// @param aRecipient incarnation of the peer.
  /// @return the transfer, or Sealed.
  base::Result<ScopeTransfer> Export(const Incarnation& aRecipient, base::MonotonicTime aNow);

  /// Imports the scopes of a stopped VM. A repeated transfer changes nothing.
  /// @return success, WrongRecipient, Sealed, MalformedKey or Full.
  base::Status Import(const ScopeTransfer& aTransfer, base::MonotonicTime aNow);

  const Incarnation& Own() const { return m_own; }
  bool IsSealed() const { return m_recipient.has_value(); }
  /// @return number of keys in the ledger.
  std::size_t size() const { return m_size; }

private:
  // Padded with zeros, which no nonce contains.
  using Nonce = std::array<char, ExecutionKey::kMaxNonceBytes>;
  struct NonceHash
  {
    std::size_t operator()(const Nonce& aNonce) const;
  };
  struct Epoch
  {
    base::MonotonicTime m_acceptUntil;
    bool m_closed = false;
    std::size_t m_running = 0;
    std::unordered_map<Nonce, ExecutionRecord, NonceHash> m_keys;
  };

  ExecutionLedger(const ExecutionLedgerOptions& aOptions,
                  const Incarnation& aOwn,
                  base::MonotonicTime aNow);
  static Nonce Pack(std::string_view aNonce);
  static std::string Unpack(const Nonce& aNonce);
  static base::Result<std::size_t> CountKeys(const ScopeTransfer& aTransfer);
  TransferredEpoch ExportEpoch(const ExecutionScope& aScope, const Epoch& aEpoch) const;
  void ImportEpoch(const TransferredEpoch& aTransferred);
  void AdvanceTo(base::MonotonicTime aNow);
  AdmissionResult BeginNew(Epoch& aEpoch, const Nonce& aNonce);

  ExecutionLedgerOptions m_options;
  Incarnation m_own;
  // Latest time seen. Epochs end by this time alone, so one that is over never accepts keys again.
  base::MonotonicTime m_latest;
  std::uint32_t m_currentEpoch = 0;
  base::MonotonicTime m_currentUntil;
  std::map<ExecutionScope, Epoch> m_epochs;
  // Never cleared, because a second import would reset the states of the keys.
  std::set<Incarnation> m_imported;
  std::optional<Incarnation> m_recipient;
  std::size_t m_size = 0;
};

} // namespace jaylane::policy
