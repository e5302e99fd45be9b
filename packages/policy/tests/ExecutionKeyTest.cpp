#include "jaylane/policy/ExecutionLedger.h"
#include "jaylane/policy/QuarantineList.h"
#include "jaylane/policy/UpstreamSelector.h"

#include "jaylane/policy/ExecutionError.h"

#include <gtest/gtest.h>

namespace jaylane::policy {
namespace {

// Guards against codes of this package being mistaken for those of another.
TEST(ExecutionError, HasItsOwnCategory)
{
  const std::error_code code = ExecutionErrc::Full;
  EXPECT_STREQ(code.category().name(), "jaylane.execution");
  EXPECT_EQ(code.message(), "execution ledger is full");
}

} // namespace
} // namespace jaylane::policy
