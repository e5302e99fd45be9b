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
  /// Run it now; the key is recorded as running. Given at most once for a key.
  Run,
  /// An earlier copy is running.
  Running,
  /// An earlier copy has finished; the record says how.
  Finished,
  /// No memory for the key: not-run, now and later, as the epoch takes no unseen key any more.
  /// The caller takes a key of a new scope.
  RefusedFull,
  /// The epoch is over or was never issued: unknown, as the key may have run.
  Expired,
  /// Another incarnation's scope: forward to it, or unknown.
  Foreign,
  /// The scope was handed over: forward to the peer, or unknown.
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
  /// How long lookups hand out one epoch.
  std::chrono::milliseconds m_epochLength{ std::chrono::minutes{ 5 } };
  /// How long after that keys of the epoch may start: the lifetime of a lookup response plus
  /// the time that a caller may take to resend.
  std::chrono::milliseconds m_keyLifetime{ std::chrono::minutes{ 2 } };
  /// How long records are kept after that, only to answer repeats.
  std::chrono::milliseconds m_margin{ std::chrono::minutes{ 1 } };
  /// Keys held at most, imported ones included.
  std::size_t m_maxKeys = 1 << 16;
  /// Imports accepted in the life of the process.
  std::size_t m_maxImports = 1024;
};

/// Runs each key of the own scopes at most once. A record is never dropped while its epoch
/// accepts keys, and an epoch never accepts keys again once it has stopped, so forgetting the
/// records afterwards cannot lead to a second run. Not thread safe.
class ExecutionLedger
{
public:
  /// @param aOptions sizes and times; all must be positive.
  /// @param aOwn random identity of this process.
  /// @param aNow the first epoch starts now.
  static base::Result<ExecutionLedger> Make(const ExecutionLedgerOptions& aOptions,
                                            const Incarnation& aOwn,
                                            base::MonotonicTime aNow);

  /// Starts the next epoch when the current one is over, or was closed for lack of memory and
  /// there is memory again.
  /// @return the scope to hand out with a lookup, or nothing once sealed.
  std::optional<ExecutionScope> CurrentScope(base::MonotonicTime aNow);

  /// Asks whether a request may run. Times that go back count as the latest time seen.
  AdmissionResult Begin(const ExecutionKey& aKey, base::MonotonicTime aNow);

  /// Records the outcome of a key for which Begin() answered Run.
  /// @param aRecord any state but Running.
  void Finish(const ExecutionKey& aKey, const ExecutionRecord& aRecord, base::MonotonicTime aNow);

  /// Stops execution for good and returns what a peer needs to continue. Repeats give the same
  /// recipient the same scopes; any other recipient is refused, even if the first never replied.
  /// Keys still running are transferred as unknown.
  /// @param aRecipient incarnation of the peer.
  base::Result<ScopeTransfer> Export(const Incarnation& aRecipient, base::MonotonicTime aNow);

  /// Takes over the scopes of a stopped VM. A repeat changes nothing.
  base::Status Import(const ScopeTransfer& aTransfer, base::MonotonicTime aNow);

  const Incarnation& Own() const { return m_own; }
  bool IsSealed() const { return m_recipient.has_value(); }
  /// @return number of keys held.
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
  TransferredEpoch Describe(const ExecutionScope& aScope, const Epoch& aEpoch) const;
  void Adopt(const TransferredEpoch& aTransferred);
  void Advance(base::MonotonicTime aNow);
  AdmissionResult BeginNew(Epoch& aEpoch, const Nonce& aNonce);

  ExecutionLedgerOptions m_options;
  Incarnation m_own;
  // Latest time seen. Only this decides, so an epoch that stopped never accepts again.
  base::MonotonicTime m_latest;
  std::uint32_t m_currentEpoch = 0;
  base::MonotonicTime m_currentUntil;
  std::map<ExecutionScope, Epoch> m_epochs;
  // Never forgotten: a second import would reset the states of the keys.
  std::set<Incarnation> m_imported;
  std::optional<Incarnation> m_recipient;
  std::size_t m_size = 0;
};

} // namespace jaylane::policy
