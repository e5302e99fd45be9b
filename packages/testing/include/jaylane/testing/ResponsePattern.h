#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace jaylane::testing {

/// The body that an upstream stand-in returns for a request. The caller knows it in
/// advance, so that it notices any byte of another response.
class ResponsePattern
{
public:
  /// @param aMethod, aPath request line without the query.
  /// @param aBodyHash XXH64 of the request body.
  /// @param aPayloadBytes bytes after the first line.
  ResponsePattern(const std::string& aMethod,
                  const std::string& aPath,
                  std::uint64_t aBodyHash,
                  std::uint64_t aPayloadBytes);

  /// @return bytes of the whole body.
  std::uint64_t size() const { return m_head.size() + m_payloadBytes; }

  /// @param aOffset first byte of the body to produce.
  /// @param aBuffer receives the bytes.
  /// @param aBytes room in the buffer.
  /// @return bytes written; 0 at the end.
  std::size_t Fill(std::uint64_t aOffset, char* aBuffer, std::size_t aBytes) const;

  /// @return whether the bytes stand at the offset of the body.
  bool Matches(std::uint64_t aOffset, const char* aData, std::size_t aBytes) const;

private:
  char At(std::uint64_t aOffset) const;

  std::string m_head;
  std::uint64_t m_payloadBytes;
  std::uint64_t m_seed;
};

/// @param aSeed selects the content.
/// @param aOffset position.
/// @return printable byte of an endless deterministic text.
char PatternByte(std::uint64_t aSeed, std::uint64_t aOffset);

/// @param aPath path of a request.
/// @return the path below "/s/<service>", or the whole path if it has no such prefix.
std::string StripServicePrefix(const std::string& aPath);

} // namespace jaylane::testing
