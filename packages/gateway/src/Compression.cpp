#include "Compression.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <limits>
#include <zlib.h>

namespace jaylane::gateway {

namespace {

namespace beast = boost::beast;

/// Added to the window size to select the gzip format, see zlib.h.
constexpr int kGzipFormat = 16;
constexpr int kWindowBits = MAX_WBITS + kGzipFormat;
/// Default of zlib.
constexpr int kMemoryLevel = 8;
/// First size of a decompressed text, as a multiple of the compressed one. Large configurations
/// shrink to about a sixth, so that their text need not be moved to a larger buffer.
constexpr std::size_t kExpectedExpansion = 8;
constexpr std::size_t kMinOutputBytes = 4096;
/// zlib counts the bytes of a buffer in an unsigned int.
constexpr std::size_t kMaxInputBytes = std::numeric_limits<uInt>::max() / 2;

base::Error InvalidGzip(const char* aReason)
{
  return { make_error_code(base::BaseErrc::InvalidValue), aReason };
}

/// Owns a zlib stream, which End releases.
template<int (*End)(z_streamp)>
class Stream
{
public:
  /// @param aInit initializes the stream and returns zlib's result.
  template<typename Init>
  explicit Stream(Init aInit)
    : m_isOpen(aInit(&m_stream) == Z_OK)
  {
  }
  ~Stream()
  {
    if (m_isOpen) {
      End(&m_stream);
    }
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool IsOpen() const { return m_isOpen; }
  z_stream* operator->() { return &m_stream; }
  z_stream* Get() { return &m_stream; }

  void SetInput(std::string_view aInput)
  {
    // zlib does not write to its input.
    m_stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(aInput.data()));
    m_stream.avail_in = static_cast<uInt>(aInput.size());
  }

  /// Appends to the output from a position on.
  void SetOutput(std::string& aOutput, std::size_t aUsed)
  {
    m_stream.next_out = reinterpret_cast<Bytef*>(aOutput.data() + aUsed);
    m_stream.avail_out = static_cast<uInt>(aOutput.size() - aUsed);
  }

private:
  z_stream m_stream{};
  bool m_isOpen;
};

using DeflateStream = Stream<deflateEnd>;
using InflateStream = Stream<inflateEnd>;

/// @param aWeight value of the parameter "q", such as "0.5".
bool IsZeroWeight(std::string_view aWeight)
{
  double weight = 0;
  const auto parsed = std::from_chars(aWeight.data(), aWeight.data() + aWeight.size(), weight);
  return parsed.ec != std::errc{} || weight <= 0;
}

} // namespace

bool AcceptsGzip(std::string_view aAcceptEncoding)
{
  const beast::http::ext_list codings{ { aAcceptEncoding.data(), aAcceptEncoding.size() } };
  for (const auto& [name, parameters] : codings) {
    if (!beast::iequals(name, kGzipEncoding)) {
      continue;
    }
    return std::none_of(parameters.begin(), parameters.end(), [](const auto& aParameter) {
      return beast::iequals(aParameter.first, "q") &&
             IsZeroWeight({ aParameter.second.data(), aParameter.second.size() });
    });
  }
  return false;
}

base::Result<std::string> CompressGzip(std::string_view aText)
{
  if (aText.size() > kMaxInputBytes) {
    return InvalidGzip("gzip: text is too long");
  }
  DeflateStream stream([](z_stream* aStream) {
    return deflateInit2(
      aStream, Z_BEST_SPEED, Z_DEFLATED, kWindowBits, kMemoryLevel, Z_DEFAULT_STRATEGY);
  });
  if (!stream.IsOpen()) {
    return InvalidGzip("gzip: no memory to compress");
  }
  std::string output(deflateBound(stream.Get(), aText.size()), '\0');
  stream.SetInput(aText);
  stream.SetOutput(output, 0);
  if (deflate(stream.Get(), Z_FINISH) != Z_STREAM_END) {
    return InvalidGzip("gzip: compression failed");
  }
  output.resize(stream->total_out);
  output.shrink_to_fit();
  return output;
}

base::Result<std::string> DecompressGzip(std::string_view aData, std::size_t aMaxBytes)
{
  if (aData.size() > kMaxInputBytes || aMaxBytes > kMaxInputBytes) {
    return InvalidGzip("gzip: data is too long");
  }
  InflateStream stream([](z_stream* aStream) { return inflateInit2(aStream, kWindowBits); });
  if (!stream.IsOpen()) {
    return InvalidGzip("gzip: no memory to decompress");
  }
  stream.SetInput(aData);
  // One byte more than the limit shows that the limit is exceeded.
  const std::size_t maxOutput = aMaxBytes + 1;
  std::string output;
  std::size_t used = 0;
  int result = Z_OK;
  while (result == Z_OK) {
    if (used > aMaxBytes) {
      return InvalidGzip("gzip: text exceeds the limit");
    }
    output.resize(std::min(
      maxOutput, std::max({ kMinOutputBytes, aData.size() * kExpectedExpansion, used * 2 })));
    stream.SetOutput(output, used);
    result = inflate(stream.Get(), Z_NO_FLUSH);
    used = stream->total_out;
  }
  if (result != Z_STREAM_END) {
    return InvalidGzip("gzip: data is corrupt or truncated");
  }
  if (used > aMaxBytes) {
    return InvalidGzip("gzip: text exceeds the limit");
  }
  if (stream->avail_in > 0) {
    return InvalidGzip("gzip: data after the end");
  }
  output.resize(used);
  return output;
}

} // namespace jaylane::gateway
