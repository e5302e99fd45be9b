#pragma once

#include "jaylane/base/Error.h"

#include <string>
#include <system_error>

namespace jaylane::testing {

/// Errors of the test doubles and the process harness.
enum class TestingErrc
{
  Ok = 0,
  ListenFailed,
  StartFailed,
  Timeout,
  Malformed,
  FileFailed,
};

/// @return the category of TestingErrc.
const std::error_category& TestingCategory();

/// @param aCode error of this package.
/// @return the error code in TestingCategory().
std::error_code make_error_code(TestingErrc aCode);

/// @param aCode kind of the failure.
/// @param aDetail details for the log.
/// @return error with code and detail.
inline base::Error MakeError(TestingErrc aCode, std::string aDetail = {})
{
  return { make_error_code(aCode), std::move(aDetail) };
}

} // namespace jaylane::testing

template<>
struct std::is_error_code_enum<jaylane::testing::TestingErrc> : std::true_type
{
};
