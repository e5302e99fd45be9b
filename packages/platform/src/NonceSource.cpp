#include "jaylane/platform/NonceSource.h"

#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <random>

namespace jaylane::platform {

namespace {

struct Generator
{
  explicit Generator(std::seed_seq& aSeed)
    : m_engine(aSeed)
  {
  }

  std::string Next()
  {
    std::lock_guard lock(m_mutex);
    const std::uint64_t high = m_engine();
    return fmt::format("{:016x}{:016x}", high, m_engine());
  }

  std::mutex m_mutex;
  std::mt19937_64 m_engine;
};

NonceSource Make(std::seed_seq& aSeed)
{
  return [generator = std::make_shared<Generator>(aSeed)] { return generator->Next(); };
}

} // namespace

NonceSource MakeNonceSource()
{
  // With fewer seed bits than a nonce has, two VMs could get the same sequence.
  std::random_device device;
  std::seed_seq seed{ device(), device(), device(), device(), device(), device() };
  return Make(seed);
}

NonceSource MakeNonceSource(std::uint64_t aSeed)
{
  std::seed_seq seed{ aSeed, aSeed >> 32 };
  return Make(seed);
}

} // namespace jaylane::platform
