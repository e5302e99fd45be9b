#include "jaylane/ctl/AdminClient.h"

#include <fmt/format.h>

namespace jaylane::ctl {

std::string AdminClientResponse::ErrorCode() const
{
  if (!m_body.isObject() || !m_body["error"].isObject() || !m_body["error"]["code"].isString()) {
    return {};
  }
  return m_body["error"]["code"].asString();
}

std::string AdminClientResponse::Explain() const
{
  switch (m_delivery) {
    case Delivery::NotSent:
      return "no connection: " + m_problem;
    case Delivery::Lost:
      return "no response: " + m_problem;
    case Delivery::Answered:
      break;
  }
  const std::string code = ErrorCode();
  if (code.empty()) {
    return fmt::format("unexpected response with status {}", m_status);
  }
  const Json::Value& error = m_body["error"];
  std::string text = fmt::format("{}: {}", code, error["message"].asString());
  if (error["key"].isString() && !error["key"].asString().empty()) {
    text += " (" + error["key"].asString() + ")";
  }
  return text;
}

} // namespace jaylane::ctl
