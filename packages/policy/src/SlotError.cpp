#include "jaylane/policy/SlotError.h"

#include <string>

namespace jaylane::policy {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.policy.slot"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<SlotErrc>(aCode)) {
      case SlotErrc::Ok:
        return "success";
      case SlotErrc::InvalidShareTable:
        return "invalid share table";
      case SlotErrc::NotOwner:
        return "unit belongs to another incarnation";
      case SlotErrc::NotDrained:
        return "unit is still in use";
      case SlotErrc::StaleTable:
        return "another version of the share table is current";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& SlotCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(SlotErrc aCode)
{
  return { static_cast<int>(aCode), SlotCategory() };
}

} // namespace jaylane::policy
