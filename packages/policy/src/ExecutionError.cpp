#include "jaylane/policy/ExecutionError.h"

#include <string>

namespace jaylane::policy {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "jaylane.execution"; }

  std::string message(int aCode) const override
  {
    switch (static_cast<ExecutionErrc>(aCode)) {
      case ExecutionErrc::Ok:
        return "success";
      case ExecutionErrc::MalformedKey:
        return "malformed request key";
      case ExecutionErrc::MalformedScope:
        return "malformed execution scope";
      case ExecutionErrc::InvalidOptions:
        return "invalid ledger options";
      case ExecutionErrc::Sealed:
        return "execution ledger is sealed";
      case ExecutionErrc::WrongRecipient:
        return "scope transfer is for another incarnation";
      case ExecutionErrc::Full:
        return "execution ledger is full";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category& ExecutionCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code make_error_code(ExecutionErrc aCode)
{
  return { static_cast<int>(aCode), ExecutionCategory() };
}

} // namespace jaylane::policy
