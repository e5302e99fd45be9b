#include "jaylane/base/SocketAddress.h"

#include <gtest/gtest.h>

namespace jaylane::base {
namespace {

// Guards against addresses that change when they are parsed and written again.
TEST(SocketAddress, RoundTripsAndRejectsMalformedText)
{
  const auto address = SocketAddress::Parse("127.0.0.9:8080");
  ASSERT_TRUE(address);
  EXPECT_EQ(address->ToString(), "127.0.0.9:8080");
  for (const char* text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "x:1", "1.2.3:4" }) {
    EXPECT_FALSE(SocketAddress::Parse(text)) << text;
  }
}

} // namespace
} // namespace jaylane::base
