#include "jaylane/platform/ConditionalWriter.h"

#include "jaylane/platform/JsonText.h"

namespace jaylane::platform {

namespace {

constexpr const char* kWriter = "writer";
constexpr const char* kNonce = "nonce";
constexpr const char* kBase = "base";

} // namespace

std::optional<WriteId> WriteId::Parse(std::string_view aValue)
{
  const std::optional<Json::Value> json = ParseJsonObject(aValue);
  if (!json || !(*json)[kWriter].isString() || !(*json)[kNonce].isString() ||
      !(*json)[kBase].isUInt64()) {
    return std::nullopt;
  }
  return WriteId{ (*json)[kWriter].asString(),
                  (*json)[kNonce].asString(),
                  (*json)[kBase].asUInt64() };
}

struct ConditionalWriter::Attempt
{
  const std::string& m_key;
  WriteId m_id;
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
  aValue[kWriter] = attempt.m_id.m_writer;
  aValue[kNonce] = attempt.m_id.m_nonce;
  aValue[kBase] = Json::UInt64{ aExpected };
  const std::string text = WriteJson(aValue);

  // Whether an earlier put of this call may have taken effect or may still do so.
  bool mayTakeEffect = false;
  base::Error error;
  for (unsigned i = 0; i < kMaxPuts; ++i) {
    if (aAdmit && !aAdmit()) {
      error = MakeError(PlatformErrc::Unavailable, "write rate limit exceeded");
      break;
    }
    const base::Result<Version> written = m_store.Put(aKey, text, aExpected, aTimeout);
    if (written) {
      return { WriteOutcome::Written, *written, std::nullopt, {} };
    }
    error = written.GetError();
    if (!mayTakeEffect && error.m_code == PlatformErrc::Conflict) {
      return { WriteOutcome::OtherWriter, 0, std::nullopt, error };
    }
    mayTakeEffect = mayTakeEffect || error.m_code == PlatformErrc::Timeout;
    if (!mayTakeEffect) {
      break;
    }
    if (std::optional<WriteResult> result = ReadBack(attempt)) {
      return std::move(*result);
    }
  }
  return {
    mayTakeEffect ? WriteOutcome::Unknown : WriteOutcome::NotWritten, 0, std::nullopt, error
  };
}

std::optional<WriteResult> ConditionalWriter::ReadBack(const Attempt& aAttempt) const
{
  base::Result<StoreObject> current = m_store.Get(aAttempt.m_key, aAttempt.m_timeout);
  const Version expected = aAttempt.m_id.m_base;
  if (!current) {
    const base::Error& error = current.GetError();
    if (error.m_code == PlatformErrc::NotFound && expected != kAbsent) {
      // The object was deleted, either instead of this write or after it.
      return WriteResult{ WriteOutcome::Unknown, 0, std::nullopt, error };
    }
    return std::nullopt;
  }
  if (current->m_version == expected) {
    return std::nullopt;
  }
  const std::optional<WriteId> writeId = WriteId::Parse(current->m_value);
  if (writeId == aAttempt.m_id) {
    return WriteResult{ WriteOutcome::Written, current->m_version, std::nullopt, {} };
  }
  if (writeId && writeId->m_base == expected) {
    // The other write replaced the version that this write expects, so this one cannot take effect
    // any more. That is no proof for an object to be created: it may have been created by this
    // write, deleted, and created again by the other one.
    if (expected != kAbsent) {
      return WriteResult{ WriteOutcome::OtherWriter, 0, std::move(*current), {} };
    }
  }
  return WriteResult{ WriteOutcome::Unknown,
                      0,
                      std::move(*current),
                      MakeError(PlatformErrc::Timeout, "replaced by a later write") };
}

} // namespace jaylane::platform
