#include "jaylane/testing/TestingError.h"

namespace jaylane::testing {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.testing"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<TestingErrc>(aCode)) {
      case TestingErrc::Ok:
        return "success";
      case TestingErrc::ListenFailed:
        return "cannot listen";
      case TestingErrc::StartFailed:
        return "cannot start the program";
      case TestingErrc::Timeout:
        return "timed out";
      case TestingErrc::Malformed:
        return "malformed data";
      case TestingErrc::FileFailed:
        return "cannot use the file";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& TestingCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(TestingErrc aCode)
{
  return { static_cast<int>(aCode), TestingCategory() };
}

} // namespace jaylane::testing
