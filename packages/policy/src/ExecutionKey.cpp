#include "jaylane/policy/ExecutionKey.h"

#include "jaylane/policy/ExecutionError.h"

#include <algorithm>

namespace jaylane::policy {

namespace {

bool IsNonceChar(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '_' || aChar == '-';
}

bool IsClaimChar(char aChar)
{
  return IsNonceChar(aChar) || aChar == ':';
}

bool IsText(std::string_view aText, std::size_t aMaxBytes, bool (*aIsValid)(char))
{
  return !aText.empty() && aText.size() <= aMaxBytes &&
         std::all_of(aText.begin(), aText.end(), aIsValid);
}

} // namespace

std::string ExecutionKey::ToString() const
{
  return m_scope.ToString() + '.' + m_nonce;
}

base::Result<RequestKey> ParseRequestKey(std::string_view aText)
{
  const auto dot = aText.find('.');
  if (dot == std::string_view::npos) {
    if (!IsText(aText, ClaimKey::kMaxBytes, IsClaimChar)) {
      return base::Error{ ExecutionErrc::MalformedKey, {} };
    }
    return RequestKey(ClaimKey{ std::string(aText) });
  }
  const auto scope = ExecutionScope::Parse(aText.substr(0, dot));
  const auto nonce = aText.substr(dot + 1);
  if (!scope || !IsText(nonce, ExecutionKey::kMaxNonceBytes, IsNonceChar)) {
    return base::Error{ ExecutionErrc::MalformedKey, {} };
  }
  return RequestKey(ExecutionKey{ *scope, std::string(nonce) });
}

} // namespace jaylane::policy
