#include "SocketOptions.h"

#include <gtest/gtest.h>

namespace jaylane::gateway {
namespace {

// Guards against registrations whose address fails only when a request has chosen it.
TEST(SocketOptionsTest, HostAddressesNameAHostAndPort)
{
  EXPECT_TRUE(IsHostAddress("10.0.0.9:80"));
  EXPECT_TRUE(IsHostAddress("10.0.0.9:65535"));
  for (const char* text : { "",
                            "10.0.0.9",
                            "10.0.0.9:",
                            "10.0.0.9:0",
                            "10.0.0.9:65536",
                            "10.0.0.9:99999999999999999999",
                            "10.0.0.9:-1",
                            "10.0.0.9:80x",
                            "10.0.0.256:80",
                            "0.0.0.0:80",
                            "224.0.0.1:80",
                            "host:80" }) {
    EXPECT_FALSE(IsHostAddress(text)) << text;
  }
}

} // namespace
} // namespace jaylane::gateway
