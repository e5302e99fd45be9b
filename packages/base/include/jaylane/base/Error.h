#pragma once

#include <cassert>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace jaylane::base {

/// Errors of the base layer.
enum class BaseErrc
{
  Ok = 0,
  InvalidStateChart,
  InvalidValue,
  Closed,
  ListenFailed,
};

/// @return the category of BaseErrc.
const std::error_category& BaseCategory();

/// @param aCode error of this layer.
/// @return the error code in BaseCategory().
std::error_code make_error_code(BaseErrc aCode);

/// An error code and details for the log.
struct Error
{
  std::error_code m_code;
  std::string m_detail;

  /// @return "<message of the code>: <detail>", or only the message if there is no detail.
  std::string Message() const;
};

/// A value or an error.
template<typename T>
class [[nodiscard]] Result
{
public:
  Result(T aValue)
    : m_state(std::move(aValue))
  {
  }
  Result(Error aError)
    : m_state(std::move(aError))
  {
  }
  /// @param aCode error without details.
  Result(std::error_code aCode)
    : m_state(Error{ aCode, {} })
  {
  }

  explicit operator bool() const { return std::holds_alternative<T>(m_state); }

  T& Value()
  {
    assert(*this);
    return std::get<T>(m_state);
  }
  const T& Value() const
  {
    assert(*this);
    return std::get<T>(m_state);
  }
  T& operator*() { return Value(); }
  const T& operator*() const { return Value(); }
  T* operator->() { return &Value(); }
  const T* operator->() const { return &Value(); }

  /// @return the error; only valid if this holds no value.
  const Error& GetError() const
  {
    assert(!*this);
    return std::get<Error>(m_state);
  }

private:
  std::variant<T, Error> m_state;
};

/// Success without a value.
struct Success
{};

using Status = Result<Success>;

} // namespace jaylane::base

template<>
struct std::is_error_code_enum<jaylane::base::BaseErrc> : std::true_type
{
};
