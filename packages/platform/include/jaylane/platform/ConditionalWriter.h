#pragma once

#include "jaylane/platform/NonceSource.h"
#include "jaylane/platform/Store.h"

#include <chrono>
#include <functional>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>

namespace jaylane::platform {

/// Identifies a write; part of the stored value.
struct WriteStamp
{
  std::string m_writer;
  std::string m_nonce;
  /// Version that the write replaced.
  Version m_base = kAbsent;

  bool operator==(const WriteStamp&) const = default;

  /// @param aValue value of an object.
  /// @return its stamp, or nothing if it was not written by a ConditionalWriter.
  static std::optional<WriteStamp> Parse(std::string_view aValue);
};

enum class WriteOutcome
{
  /// The own write took effect.
  Written,
  /// Another write took effect in its place; the own one never did and never will.
  OtherWriter,
  /// No write took effect: the store refused it or could not be reached.
  Absent,
  /// Cannot be determined: the write may have taken effect, or still may.
  Unsure,
};

struct WriteResult
{
  WriteOutcome m_outcome = WriteOutcome::Absent;
  /// Version of the own write if written.
  Version m_version = 0;
  /// The other writer's object, if it was read.
  std::optional<StoreObject> m_other;
  /// Reason if absent or unsure.
  base::Error m_error;
};

/// Writes with a stamp, so that a lost response can be resolved by reading back.
///
/// If the object still has the expected version after a lost response, the request may
/// still be on its way. The same write is then sent again: only one of both can meet the
/// expected version, and both carry the same stamp. Thread safe.
class ConditionalWriter
{
public:
  /// Writes of one call at most, the first one included.
  static constexpr unsigned kMaxPuts = 3;

  /// @param aStore outlives this.
  /// @param aWriter id of the process, such as its incarnation.
  ConditionalWriter(Store& aStore, std::string aWriter, NonceSource aNonces);

  /// Blocks up to 2 * kMaxPuts timeouts.
  /// @param aValue JSON object; gets the members writer, nonce and base.
  /// @param aExpected current version; kAbsent to create the object.
  /// @param aTimeout of each call of the store.
  /// @param aAdmit optional; asked before each write to the store. A refusal counts like an
  ///   unavailable store.
  WriteResult Write(const std::string& aKey,
                    Json::Value aValue,
                    Version aExpected,
                    std::chrono::milliseconds aTimeout,
                    const std::function<bool()>& aAdmit = {}) const;

private:
  struct Attempt;

  std::optional<WriteResult> ReadBack(const Attempt& aAttempt) const;

  Store& m_store;
  const std::string m_writer;
  const NonceSource m_nonces;
};

} // namespace jaylane::platform
