#include "jaylane/policy/RequestFingerprint.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <new>
#include <string>
#include <xxhash.h>

namespace jaylane::policy {

void BodyHasher::StateDeleter::operator()(XXH3_state_s* aState) const
{
  XXH3_freeState(aState);
}

BodyHasher::BodyHasher()
  : m_state(XXH3_createState())
{
  if (!m_state) {
    throw std::bad_alloc();
  }
  XXH3_64bits_reset(m_state.get());
}

void BodyHasher::Update(std::span<const std::byte> aPiece)
{
  XXH3_64bits_update(m_state.get(), aPiece.data(), aPiece.size());
}

std::uint64_t BodyHasher::Digest() const
{
  return XXH3_64bits_digest(m_state.get());
}

RequestFingerprint RequestFingerprint::Of(std::string_view aService,
                                          std::string_view aMethod,
                                          std::string_view aPath,
                                          std::uint64_t aBodyHash)
{
  std::string text;
  text.reserve(aService.size() + aMethod.size() + aPath.size() + sizeof(aBodyHash) + 2);
  // Fields are separated by zero bytes, so that moving a character between them changes the hash.
  text.append(aService).append(1, '\0').append(aMethod).append(1, '\0').append(aPath);
  text.append(1, '\0');
  text.append(reinterpret_cast<const char*>(&aBodyHash), sizeof(aBodyHash));
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return { hash.high64, hash.low64 };
}

std::string RequestFingerprint::ToString() const
{
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, m_high, m_low);
  return text.data();
}

} // namespace jaylane::policy
