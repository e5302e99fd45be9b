#include "jaylane/platform/ConditionalWriter.h"

#include "jaylane/platform/JsonText.h"

namespace jaylane::platform {

namespace {

constexpr const char* kWriter = "writer";
constexpr const char* kNonce = "nonce";
constexpr const char* kBase = "base";

} // namespace

std::optional<WriteStamp> WriteStamp::Parse(std::string_view aValue)
{
  const std::optional<Json::Value> json = ParseJsonObject(aValue);
  if (!json || !(*json)[kWriter].isString() || !(*json)[kNonce].isString() ||
      !(*json)[kBase].isUInt64()) {
    return std::nullopt;
  }
  return WriteStamp{ (*json)[kWriter].asString(),
                     (*json)[kNonce].asString(),
                     (*json)[kBase].asUInt64() };
}

struct ConditionalWriter::Attempt
{
  const std::string& m_key;
  WriteStamp m_stamp;
  std::chrono::milliseconds m_timeout;
};

ConditionalWriter::ConditionalWriter(Store& aStore, std::string aWriter, NonceSource aNonces)
  : m_store(aStore)
  , m_writer(std::move(aWriter))
  , m_nonces(std::move(aNonces))
{
}

WriteResult ConditionalWriter::Write(const std::string& aKey,
                                     Json::Value aValue,
                                     Version aExpected,
                                     std::chrono::milliseconds aTimeout,
                                     const std::function<bool()>& aAdmit) const
{
  const Attempt attempt{ aKey, { m_writer, m_nonces(), aExpected }, aTimeout };
  aValue[kWriter] = attempt.m_stamp.m_writer;
  aValue[kNonce] = attempt.m_stamp.m_nonce;
  aValue[kBase] = Json::UInt64{ aExpected };
  const std::string text = WriteJson(aValue);

  // Whether an earlier write of this call may have taken effect or still may.
  bool pending = false;
  base::Error error;
  for (unsigned i = 0; i < kMaxPuts; ++i) {
    if (aAdmit && !aAdmit()) {
      error = MakeError(PlatformErrc::Unavailable, "write rate limit");
      break;
    }
    const base::Result<Version> written = m_store.Put(aKey, text, aExpected, aTimeout);
    if (written) {
      return { WriteOutcome::Written, *written, std::nullopt, {} };
    }
    error = written.GetError();
    if (!pending && error.m_code == PlatformErrc::Conflict) {
      return { WriteOutcome::OtherWriter, 0, std::nullopt, error };
    }
    pending = pending || error.m_code == PlatformErrc::Timeout;
    if (!pending) {
      break;
    }
    if (std::optional<WriteResult> result = ReadBack(attempt)) {
      return std::move(*result);
    }
  }
  return { pending ? WriteOutcome::Unsure : WriteOutcome::Absent, 0, std::nullopt, error };
}

std::optional<WriteResult> ConditionalWriter::ReadBack(const Attempt& aAttempt) const
{
  base::Result<StoreObject> current = m_store.Get(aAttempt.m_key, aAttempt.m_timeout);
  const Version expected = aAttempt.m_stamp.m_base;
  if (!current) {
    const base::Error& error = current.GetError();
    if (error.m_code == PlatformErrc::NotFound && expected != kAbsent) {
      // Deleted, either in place of the own write or after it.
      return WriteResult{ WriteOutcome::Unsure, 0, std::nullopt, error };
    }
    return std::nullopt;
  }
  if (current->m_version == expected) {
    return std::nullopt;
  }
  const std::optional<WriteStamp> stamp = WriteStamp::Parse(current->m_value);
  if (stamp == aAttempt.m_stamp) {
    return WriteResult{ WriteOutcome::Written, current->m_version, std::nullopt, {} };
  }
  if (stamp && stamp->m_base == expected) {
    // The other write replaced the version that the own one would have had to replace.
    // An absent object is the exception: it can be created, deleted and created again.
    if (expected != kAbsent) {
      return WriteResult{ WriteOutcome::OtherWriter, 0, std::move(*current), {} };
    }
  }
  return WriteResult{ WriteOutcome::Unsure,
                      0,
                      std::move(*current),
                      MakeError(PlatformErrc::Timeout, "replaced by a later write") };
}

} // namespace jaylane::platform
