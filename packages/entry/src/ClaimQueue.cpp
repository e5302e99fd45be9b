#include "ClaimQueue.h"

#include "JsonText.h"
#include "jaylane/platform/PlatformError.h"

#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::size_t kMaxWaiting = 256;
constexpr unsigned kThreads = 4;
constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
constexpr unsigned kMaxReads = 3;

} // namespace

ClaimQueue::ClaimQueue(const VmContext& aContext, platform::Store& aStore)
  : m_context(aContext)
  , m_store(aStore)
  , m_claims(kMaxWaiting)
{
  for (unsigned i = 0; i < kThreads; ++i) {
    m_threads.emplace_back([this] { Run(); });
  }
}

ClaimQueue::~ClaimQueue()
{
  m_claims.Close();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

bool ClaimQueue::Submit(std::string aKey, Done aDone)
{
  return m_claims.TryPush({ std::move(aKey), std::move(aDone) });
}

void ClaimQueue::Run()
{
  constexpr std::chrono::hours kForever{ 1 };
  for (;;) {
    auto claim = m_claims.Pop(kForever);
    if (claim) {
      claim->m_done(Execute(claim->m_key));
    } else if (m_claims.IsClosed()) {
      return;
    }
  }
}

ClaimQueue::Verdict ClaimQueue::Execute(const std::string& aKey)
{
  Json::Value value(Json::objectValue);
  value["writer"] = m_context.m_incarnationText;
  value["nonce"] = Json::UInt64(m_nextNonce++);
  const std::string text = WriteJson(value);
  const std::string key = "claim/" + aKey;
  const auto created = m_store.Put(key, text, platform::kAbsent, kCallTimeout);
  if (created) {
    return Verdict::Claimed;
  }
  const auto code = created.GetError().m_code;
  if (code == platform::PlatformErrc::Conflict) {
    return Verdict::AlreadyClaimed;
  }
  if (code != platform::PlatformErrc::Timeout) {
    return Verdict::Unavailable;
  }
  // The write may have taken effect, or may still do so: only a value that is there is final.
  for (unsigned i = 0; i < kMaxReads; ++i) {
    const auto object = m_store.Get(key, kCallTimeout);
    if (object) {
      return object->m_value == text ? Verdict::Claimed : Verdict::AlreadyClaimed;
    }
  }
  // Nothing was run for this claim. Should the write still take effect, the key is refused from
  // then on, which is safe.
  return Verdict::Unavailable;
}

} // namespace jaylane::entry
