#include "jaylane/testing/ResponsePattern.h"

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace jaylane::testing {

ResponsePattern::ResponsePattern(const std::string& aMethod,
                                 const std::string& aPath,
                                 std::uint64_t aBodyHash,
                                 std::uint64_t aPayloadBytes)
  : m_head(fmt::format("{} {} {:016x}\n", aMethod, aPath, aBodyHash))
  , m_payloadBytes(aPayloadBytes)
  , m_seed(XXH64(m_head.data(), m_head.size(), 0))
{
}

std::size_t ResponsePattern::Fill(std::uint64_t aOffset, char* aBuffer, std::size_t aBytes) const
{
  if (aOffset >= size()) {
    return 0;
  }
  const std::size_t bytes = std::min<std::uint64_t>(aBytes, size() - aOffset);
  for (std::size_t i = 0; i < bytes; ++i) {
    aBuffer[i] = At(aOffset + i);
  }
  return bytes;
}

bool ResponsePattern::Matches(std::uint64_t aOffset, const char* aData, std::size_t aBytes) const
{
  if (aOffset + aBytes > size()) {
    return false;
  }
  for (std::size_t i = 0; i < aBytes; ++i) {
    if (aData[i] != At(aOffset + i)) {
      return false;
    }
  }
  return true;
}

char ResponsePattern::At(std::uint64_t aOffset) const
{
  return aOffset < m_head.size() ? m_head[aOffset] : PatternByte(m_seed, aOffset - m_head.size());
}

char PatternByte(std::uint64_t aSeed, std::uint64_t aOffset)
{
  // SplitMix64 of the number of the 8-byte block; each byte of the result selects one letter.
  std::uint64_t bits = aSeed + (aOffset / 8 + 1) * 0x9e3779b97f4a7c15u;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9u;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebu;
  bits ^= bits >> 31;
  const auto byte = static_cast<unsigned char>(bits >> (8 * (aOffset % 8)));
  return static_cast<char>('A' + byte % 26);
}

std::string StripServicePrefix(const std::string& aPath)
{
  if (aPath.compare(0, 3, "/s/") != 0) {
    return aPath;
  }
  const auto slash = aPath.find('/', 3);
  return slash == std::string::npos ? "/" : aPath.substr(slash);
}

} // namespace jaylane::testing
