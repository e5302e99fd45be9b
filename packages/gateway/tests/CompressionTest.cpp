#include "Compression.h"

#include <gtest/gtest.h>

namespace jaylane::gateway {
namespace {

constexpr std::size_t kMaxBytes = 1 << 20;

/// @return a text that compresses well but not to nothing.
std::string SampleText()
{
  std::string text;
  for (int i = 0; i < 4000; ++i) {
    text += "{\"path\":\"/route/" + std::to_string(i * 7919) + "\",\"team\":\"t\"},";
  }
  return text;
}

// Guards against text that is lost or changed on the way to a peer.
TEST(CompressionTest, RestoresTheText)
{
  for (const std::string& text : { std::string(), std::string("x"), SampleText() }) {
    const auto compressed = CompressGzip(text);
    ASSERT_TRUE(compressed);
    const auto restored = DecompressGzip(*compressed, kMaxBytes);
    ASSERT_TRUE(restored) << restored.GetError().Message();
    EXPECT_EQ(*restored, text);
  }
  EXPECT_LT(CompressGzip(SampleText())->size(), SampleText().size() / 3);
}

// Guards against a small response that takes all memory.
TEST(CompressionTest, ExceedingTheLimitIsAnError)
{
  const std::string text = SampleText();
  const auto compressed = CompressGzip(text);
  EXPECT_TRUE(DecompressGzip(*compressed, text.size()));
  EXPECT_FALSE(DecompressGzip(*compressed, text.size() - 1));
  EXPECT_FALSE(DecompressGzip(*CompressGzip(std::string(64 << 20, '0')), kMaxBytes));
  EXPECT_FALSE(DecompressGzip(*CompressGzip("x"), 0));
}

// Guards against a part of an object list that is taken for the whole.
TEST(CompressionTest, DamagedDataIsAnError)
{
  const std::string whole = *CompressGzip("a text that is neither short nor long");
  for (std::size_t length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(DecompressGzip(whole.substr(0, length), kMaxBytes)) << length;
  }
  // Bytes 4 to 9 of the header hold the time, flags and system, which do not affect the text.
  for (std::size_t i = 0; i < whole.size(); i = i == 3 ? 10 : i + 1) {
    std::string corrupt = whole;
    corrupt[i] = static_cast<char>(corrupt[i] ^ 0x55);
    EXPECT_FALSE(DecompressGzip(corrupt, kMaxBytes)) << i;
  }
  EXPECT_FALSE(DecompressGzip(whole + "x", kMaxBytes));
}

// Guards against sending compressed bytes to a peer that does not understand them.
TEST(CompressionTest, AcceptsGzipOnlyIfNamed)
{
  for (const char* accepting : { "gzip", "GZIP", "deflate, gzip;q=0.5", "br , gzip ; q=1.000" }) {
    EXPECT_TRUE(AcceptsGzip(accepting)) << accepting;
  }
  for (const char* refusing :
       { "", "identity", "deflate", "gzip;q=0", "gzip; q=0.000", "gzipped", "gzip;q=", "=" }) {
    EXPECT_FALSE(AcceptsGzip(refusing)) << refusing;
  }
}

} // namespace
} // namespace jaylane::gateway
