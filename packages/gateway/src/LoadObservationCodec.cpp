#include "LoadObservationCodec.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <chrono>
#include <limits>

namespace jaylane::gateway {

namespace {

namespace iterators = boost::archive::iterators;
using std::chrono::milliseconds;

/// Upstream (4), key (2) and age in milliseconds (2), lowest byte first, running and waiting (1
/// each).
constexpr std::size_t kEntryBytes = 10;
constexpr std::size_t kBitsPerByte = 8;
constexpr std::size_t kBitsPerCharacter = 6;
/// Base64 characters that hold whole bytes, and these bytes.
constexpr std::size_t kGroupCharacters = 4;
constexpr std::size_t kGroupBytes = 3;
constexpr std::uint64_t kByteMask = 0xFF;

void Append(std::string& aBytes, std::uint64_t aValue, std::size_t aSize)
{
  for (std::size_t i = 0; i < aSize; ++i) {
    aBytes.push_back(static_cast<char>(aValue >> kBitsPerByte * i & kByteMask));
  }
}

/// Removes a number from the start.
std::uint64_t Take(std::string_view& aBytes, std::size_t aSize)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < aSize; ++i) {
    value |= std::uint64_t{ static_cast<unsigned char>(aBytes[i]) } << kBitsPerByte * i;
  }
  aBytes.remove_prefix(aSize);
  return value;
}

std::size_t TextLength(std::size_t aBytes)
{
  return (aBytes * kBitsPerByte + kBitsPerCharacter - 1) / kBitsPerCharacter;
}

/// @param aText only characters of Base64.
std::string ToBytes(std::string aText)
{
  using Decoder =
    iterators::transform_width<iterators::binary_from_base64<std::string::const_iterator>, 8, 6>;
  const std::size_t size = aText.size() * kBitsPerCharacter / kBitsPerByte;
  // The iterator reads whole groups.
  aText.append((kGroupCharacters - aText.size() % kGroupCharacters) % kGroupCharacters, 'A');
  std::string bytes(Decoder(aText.cbegin()), Decoder(aText.cend()));
  bytes.resize(size);
  return bytes;
}

} // namespace

std::size_t ObservationsThatFit(std::size_t aLength)
{
  return std::min(aLength * kBitsPerCharacter / kBitsPerByte / kEntryBytes,
                  kMaxObservationsPerText);
}

std::string EncodeObservations(const std::vector<policy::LoadObservation>& aObservations,
                               base::MonotonicTime aNow)
{
  constexpr std::uint64_t kMaxByte = std::numeric_limits<std::uint8_t>::max();
  std::string bytes;
  for (const policy::LoadObservation& observation : aObservations) {
    const auto age = std::max<std::int64_t>(
      0, std::chrono::duration_cast<milliseconds>(aNow - observation.m_seenAt).count());
    if (age > std::numeric_limits<std::uint16_t>::max()) {
      continue;
    }
    Append(bytes, observation.m_upstream, 4);
    Append(bytes, observation.m_key, 2);
    Append(bytes, static_cast<std::uint64_t>(age), 2);
    Append(bytes, std::min<std::uint64_t>(observation.m_running, kMaxByte), 1);
    Append(bytes, std::min<std::uint64_t>(observation.m_waiting, kMaxByte), 1);
  }
  const std::size_t length = TextLength(bytes.size());
  bytes.append((kGroupBytes - bytes.size() % kGroupBytes) % kGroupBytes, '\0');
  using Encoder =
    iterators::base64_from_binary<iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(Encoder(bytes.cbegin()), Encoder(bytes.cend()));
  text.resize(length);
  return text;
}

std::optional<std::vector<policy::LoadObservation>> DecodeObservations(std::string_view aText,
                                                                       base::MonotonicTime aNow)
{
  std::string bytes;
  // The iterator takes the padding character for a zero.
  if (aText.size() > TextLength(kMaxObservationsPerText * kEntryBytes) ||
      aText.find('=') != std::string_view::npos) {
    return std::nullopt;
  }
  try {
    bytes = ToBytes(std::string(aText));
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
  if (bytes.size() % kEntryBytes != 0 || TextLength(bytes.size()) != aText.size()) {
    return std::nullopt;
  }
  std::vector<policy::LoadObservation> observations;
  std::string_view rest = bytes;
  while (!rest.empty()) {
    policy::LoadObservation observation;
    observation.m_upstream = static_cast<std::uint32_t>(Take(rest, 4));
    observation.m_key = static_cast<std::uint16_t>(Take(rest, 2));
    observation.m_seenAt = aNow - milliseconds{ Take(rest, 2) };
    observation.m_running = static_cast<std::uint16_t>(Take(rest, 1));
    observation.m_waiting = static_cast<std::uint16_t>(Take(rest, 1));
    observations.push_back(observation);
  }
  return observations;
}

} // namespace jaylane::gateway
