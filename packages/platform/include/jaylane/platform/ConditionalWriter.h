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

/// Identifies one write. Stored as part of the value, so that a reader can tell whose it is.
struct WriteId
{
  /// Id of the process that wrote.
  std::string m_writer;
  /// Distinguishes the writes of a process.
  std::string m_nonce;
  /// Version that the write replaced; kAbsent if it created the object.
  Version m_base = kAbsent;

  bool operator==(const WriteId&) const = default;

  /// @param aValue value of an object.
  /// @return the id of the write, or nothing if the value was not written by a ConditionalWriter.
  static std::optional<WriteId> Parse(std::string_view aValue);
};

enum class WriteOutcome
{
  /// The write took effect.
  Written,
  /// A write by another writer took effect instead; this one did not and never will.
  OtherWriter,
  /// The write did not take effect: the store or the rate limit refused it, or no store endpoint
  /// could be reached.
  NotWritten,
  /// The write may have taken effect or may still do so.
  Unknown,
};

struct WriteResult
{
  WriteOutcome m_outcome = WriteOutcome::NotWritten;
  /// Version of the object if written, otherwise 0.
  Version m_version = 0;
  /// Object of another writer, if reading back found one.
  std::optional<StoreObject> m_otherObject;
  /// Last error. Empty if written, or if another writer's object was read back.
  base::Error m_error;
};

/// Writes objects with a WriteId in the value. When a response is lost, reading the object back
/// shows whether the write took effect.
///
/// If the object still has the expected version after a lost response, the request may still be in
/// transit. The same write is then sent again: only one of the two can find the expected version,
/// and both carry the same WriteId. Thread safe.
class ConditionalWriter
{
public:
  /// Limit on the puts sent by one call of Write(), including the first.
  static constexpr unsigned kMaxPuts = 3;

  /// @param aStore must outlive this.
  /// @param aWriter id of this process, such as its incarnation.
  /// @param aNonces makes each write distinguishable from every other one.
  ConditionalWriter(Store& aStore, std::string aWriter, NonceSource aNonces);

  /// Writes an object if it has the expected version. Blocks up to 2 * kMaxPuts timeouts.
  /// @param aKey key of the object.
  /// @param aValue JSON object; the members writer, nonce and base are added to it.
  /// @param aExpected current version; kAbsent to create the object.
  /// @param aTimeout timeout of each store call.
  /// @param aAdmit optional; called before each put. If it returns false, the put is not sent and
  ///   treated as refused by the store.
  WriteResult Write(const std::string& aKey,
                    Json::Value aValue,
                    Version aExpected,
                    std::chrono::milliseconds aTimeout,
                    const std::function<bool()>& aAdmit = {}) const;

private:
  struct Attempt;

  /// @return the result that the current object proves, or nothing if the write has to be resent.
  std::optional<WriteResult> ReadBack(const Attempt& aAttempt) const;

  Store& m_store;
  const std::string m_writer;
  const NonceSource m_nonces;
};

} // namespace jaylane::platform
