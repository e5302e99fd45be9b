#include "jaylane/policy/PolicyError.h"

#include <string>

namespace jaylane::policy {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.policy"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<PolicyErrc>(aCode)) {
      case PolicyErrc::Ok:
        return "success";
      case PolicyErrc::InvalidBlock:
        return "invalid client block";
      case PolicyErrc::InvalidLimits:
        return "invalid limits";
      case PolicyErrc::InvalidLoad:
        return "invalid load measurement";
      case PolicyErrc::InvalidTable:
        return "invalid steering table";
      case PolicyErrc::InvalidTopology:
        return "invalid topology";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& PolicyCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(PolicyErrc aCode)
{
  return { static_cast<int>(aCode), PolicyCategory() };
}

} // namespace jaylane::policy
