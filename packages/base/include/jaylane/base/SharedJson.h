#pragma once

#include <concepts>
#include <json/value.h>
#include <memory>
#include <utility>

namespace jaylane::base {

/// A JSON value that cannot be changed. Copies share it, also between threads, so that they cost
/// the same for a value of any size.
class SharedJson
{
public:
  /// Null.
  SharedJson() = default;
  /// @param aValue what a Json::Value can be made from.
  template<typename T>
  requires(std::convertible_to<T, Json::Value> && !std::same_as<T, SharedJson>) SharedJson(T aValue)
    : m_value(std::make_shared<const Json::Value>(std::move(aValue)))
  {
  }

  const Json::Value& operator*() const { return m_value ? *m_value : Json::Value::nullSingleton(); }
  const Json::Value* operator->() const { return &**this; }

private:
  /// Null stands for a null value.
  std::shared_ptr<const Json::Value> m_value;
};

} // namespace jaylane::base
