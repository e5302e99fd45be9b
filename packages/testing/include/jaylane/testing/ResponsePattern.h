#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace jaylane::testing {

/// Body that an upstream stand-in returns for a request: a first line derived from the request and
/// pseudorandom text seeded with that line. Callers compute the same body and so detect bytes of
/// another response.
class ResponsePattern
{
public:
  /// @param aMethod, aPath of the request, without service prefix and query.
  /// @param aBodyHash XXH64 of the request body.
  /// @param aPayloadBytes length of the text after the first line.
  ResponsePattern(const std::string& aMethod,
                  const std::string& aPath,
                  std::uint64_t aBodyHash,
                  std::uint64_t aPayloadBytes);

  /// @return length of the whole body in bytes.
  std::uint64_t size() const { return m_head.size() + m_payloadBytes; }

  /// @param aOffset first byte of the body to produce.
  /// @param aBuffer receives the bytes.
  /// @param aBytes size of the buffer.
  /// @return number of bytes written; 0 at the end of the body.
  std::size_t Fill(std::uint64_t aOffset, char* aBuffer, std::size_t aBytes) const;

  /// @return whether the body has these bytes at the offset.
  bool Matches(std::uint64_t aOffset, const char* aData, std::size_t aBytes) const;

private:
  char At(std::uint64_t aOffset) const;

  std::string m_head;
  std::uint64_t m_payloadBytes;
  std::uint64_t m_seed;
};

/// @param aSeed seed of the text.
/// @param aOffset position in the text.
/// @return letter at the position of an endless pseudorandom text.
char PatternByte(std::uint64_t aSeed, std::uint64_t aOffset);

/// @param aPath path of a request.
/// @return the path below "/s/<service>", or the whole path if it has no such prefix.
std::string StripServicePrefix(const std::string& aPath);

} // namespace jaylane::testing
