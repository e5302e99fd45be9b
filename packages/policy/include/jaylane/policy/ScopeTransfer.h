#pragma once

#include "jaylane/policy/ExecutionScope.h"

#include <chrono>
#include <vector>

namespace jaylane::policy {

/// State of a key in the execution ledger, which has no entry for unseen keys.
enum class KeyState : std::uint8_t
{
  Running,
  Completed,
  /// Proven not executed. Final: the key does not run later either.
  NotRun,
  Unknown,
};

/// Outcome of a key, used to answer repeated requests.
struct ExecutionRecord
{
  KeyState m_state = KeyState::Running;
  /// Status of the upstream's response if completed, otherwise 0.
  std::uint16_t m_status = 0;

  bool operator==(const ExecutionRecord&) const = default;
};

struct TransferredKey
{
  std::string m_nonce;
  ExecutionRecord m_record;
};

struct TransferredEpoch
{
  ExecutionScope m_scope;
  /// Time for which keys may still start, counted from when the transfer was made.
  std::chrono::milliseconds m_remaining{ 0 };
  /// A key was refused because the ledger was full; no unseen key may start.
  bool m_closed = false;
  std::vector<TransferredKey> m_keys;
};

/// Scopes and keys that a stopping VM transfers to one peer.
struct ScopeTransfer
{
  /// The only incarnation that may import this.
  Incarnation m_recipient;
  /// The incarnation that stopped.
  Incarnation m_exporter;
  std::vector<TransferredEpoch> m_epochs;
};

} // namespace jaylane::policy
