#include "ClaimQueue.h"

#include <utility>

namespace jaylane::entry {

namespace {

constexpr std::size_t kMaxWaiting = 256;
constexpr unsigned kThreads = 4;

} // namespace

ClaimQueue::ClaimQueue(const VmContext& aContext, platform::Store& aStore)
  : m_context(aContext)
  , m_store(aStore)
  , m_claims(kMaxWaiting)
{
  Configure({});
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
  constexpr std::chrono::hours kMaxPopWait{ 1 };
  for (;;) {
    auto claim = m_claims.Pop(kMaxPopWait);
    if (claim) {
      claim->m_done(Execute(claim->m_key));
    } else if (m_claims.IsClosed()) {
      return;
    }
  }
}

ClaimQueue::Result ClaimQueue::Execute(const std::string& aKey)
{
  switch (Registry()->Claim(aKey).m_outcome) {
    case platform::ClaimOutcome::Claimed:
      return Result::Claimed;
    case platform::ClaimOutcome::AlreadyClaimed:
      return Result::AlreadyClaimed;
    case platform::ClaimOutcome::StoreUnavailable:
      break;
  }
  return Result::Unavailable;
}

void ClaimQueue::Configure(const platform::ClaimOptions& aOptions)
{
  auto registry = std::make_shared<platform::ClaimRegistry>(
    m_store, m_context.m_clock, aOptions, m_context.m_incarnationText, platform::MakeNonceSource());
  std::lock_guard lock(m_mutex);
  m_registry = std::move(registry);
}

std::shared_ptr<platform::ClaimRegistry> ClaimQueue::Registry() const
{
  std::lock_guard lock(m_mutex);
  return m_registry;
}

void ClaimQueue::CleanUp()
{
  Registry()->CleanUp();
}

} // namespace jaylane::entry
