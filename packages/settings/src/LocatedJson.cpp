#include "LocatedJson.h"

#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace jaylane::settings {

namespace {

/// Maximum nesting. A YAML alias may refer to a node that contains it, which makes the document
/// infinitely deep.
constexpr std::size_t kMaxDepth = 16;

/// @return the value of an unquoted scalar as a boolean, integer, number or string.
Json::Value ParsePlainScalar(const std::string& aText)
{
  if (aText == "true" || aText == "false") {
    return aText == "true";
  }
  const char* end = aText.data() + aText.size();
  std::int64_t integer = 0;
  if (auto [at, error] = std::from_chars(aText.data(), end, integer);
      error == std::errc() && at == end) {
    return Json::Int64(integer);
  }
  // from_chars() also accepts "inf" and "nan", which have to remain strings.
  if (aText.find_first_not_of("0123456789+-.eE") == std::string::npos) {
    double number = 0;
    if (auto [at, error] = std::from_chars(aText.data(), end, number);
        error == std::errc() && at == end) {
      return number;
    }
  }
  return aText;
}

/// Maximum number of values after aliases are expanded. Without a limit, a small file with nested
/// aliases would expand to gigabytes. A tree of 43 zones and 100 services has fewer than 20,000.
constexpr std::size_t kMaxNodes = 200'000;

/// Converts a YAML document to JSON and records the line of each value.
class YamlConverter
{
public:
  YamlConverter(LocatedJson& aOutput, const std::string& aFile)
    : m_output(aOutput)
    , m_file(aFile)
  {
  }

  Json::Value Convert(const YAML::Node& aNode, const JsonPath& aPath)
  {
    if (aPath.size() > kMaxDepth) {
      Report(aNode.Mark().line + 1, "", "expected at most 16 levels of nesting");
      return Json::nullValue;
    }
    if (++m_nodes > kMaxNodes) {
      if (m_nodes == kMaxNodes + 1) {
        Report(aNode.Mark().line + 1, "", "expected at most 200000 values after aliases expand");
      }
      return Json::nullValue;
    }
    m_output.m_lines.emplace(aPath, aNode.Mark().line + 1);
    switch (aNode.Type()) {
      case YAML::NodeType::Map:
        return ConvertMap(aNode, aPath);
      case YAML::NodeType::Sequence:
        return ConvertSequence(aNode, aPath);
      case YAML::NodeType::Scalar:
        // yaml-cpp gives quoted scalars the tag "!".
        return aNode.Tag() == "!" ? Json::Value(aNode.Scalar()) : ParsePlainScalar(aNode.Scalar());
      default:
        return Json::nullValue;
    }
  }

private:
  Json::Value ConvertMap(const YAML::Node& aNode, const JsonPath& aPath)
  {
    Json::Value json(Json::objectValue);
    for (const auto& member : aNode) {
      if (m_nodes > kMaxNodes) {
        break;
      }
      const int line = member.first.Mark().line + 1;
      if (!member.first.IsScalar()) {
        Report(line, "", "expected a scalar as key");
        continue;
      }
      const std::string& key = member.first.Scalar();
      JsonPath path = aPath;
      path.push_back(key);
      if (json.isMember(key)) {
        // yaml-cpp accepts duplicate keys; one of the two values would be ignored silently.
        Report(line, key, "expected each key once, found it again");
        continue;
      }
      m_output.m_lines.emplace(path, line);
      json[key] = Convert(member.second, path);
    }
    return json;
  }

  Json::Value ConvertSequence(const YAML::Node& aNode, const JsonPath& aPath)
  {
    Json::Value json(Json::arrayValue);
    for (const YAML::Node& element : aNode) {
      if (m_nodes > kMaxNodes) {
        break;
      }
      JsonPath path = aPath;
      path.push_back(std::to_string(json.size()));
      json.append(Convert(element, path));
    }
    return json;
  }

  void Report(int aLine, const std::string& aKey, std::string aMessage)
  {
    m_output.m_diagnostics.push_back({ Severity::Error, m_file, aLine, aKey, std::move(aMessage) });
  }

  LocatedJson& m_output;
  const std::string& m_file;
  std::size_t m_nodes = 0;
};

void Emit(YAML::Emitter& aEmitter, const Json::Value& aJson);

void EmitObject(YAML::Emitter& aEmitter,
                const Json::Value& aJson,
                const std::vector<std::string>& aOrder)
{
  std::vector<std::string> names;
  for (const std::string& name : aOrder) {
    if (aJson.isMember(name)) {
      names.push_back(name);
    }
  }
  const std::set<std::string> ordered(names.begin(), names.end());
  for (const std::string& name : aJson.getMemberNames()) {
    if (!ordered.contains(name)) {
      names.push_back(name);
    }
  }
  aEmitter << YAML::BeginMap;
  for (const std::string& name : names) {
    aEmitter << YAML::Key << name << YAML::Value;
    Emit(aEmitter, aJson[name]);
  }
  aEmitter << YAML::EndMap;
}

void Emit(YAML::Emitter& aEmitter, const Json::Value& aJson)
{
  if (aJson.isObject()) {
    EmitObject(aEmitter, aJson, {});
  } else if (aJson.isArray()) {
    aEmitter << YAML::BeginSeq;
    for (const Json::Value& element : aJson) {
      Emit(aEmitter, element);
    }
    aEmitter << YAML::EndSeq;
  } else if (aJson.isString()) {
    const std::string text = aJson.asString();
    if (!ParsePlainScalar(text).isString()) {
      aEmitter << YAML::DoubleQuoted;
    }
    aEmitter << text;
  } else if (aJson.isBool()) {
    aEmitter << aJson.asBool();
  } else if (aJson.isIntegral()) {
    aEmitter << std::int64_t(aJson.asInt64());
  } else if (aJson.isDouble()) {
    aEmitter << aJson.asDouble();
  } else {
    aEmitter << YAML::Null;
  }
}

} // namespace

int LocatedJson::LineOf(JsonPath aPath) const
{
  while (true) {
    if (auto found = m_lines.find(aPath); found != m_lines.end()) {
      return found->second;
    }
    if (aPath.empty()) {
      return 0;
    }
    aPath.pop_back();
  }
}

LocatedJson ReadYaml(std::string_view aText, const std::string& aFile)
{
  LocatedJson located;
  try {
    const YAML::Node root = YAML::Load(std::string(aText));
    located.m_value = YamlConverter(located, aFile).Convert(root, {});
  } catch (const YAML::Exception& error) {
    located.m_diagnostics.push_back(
      { Severity::Error, aFile, error.mark.line + 1, "", "expected YAML: " + error.msg });
  }
  return located;
}

LocatedJson ReadYamlFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.is_open() || file.bad()) {
    LocatedJson located;
    located.m_diagnostics.push_back({ Severity::Error, aPath, 0, "", "expected a readable file" });
    return located;
  }
  return ReadYaml(text.str(), aPath);
}

std::string WriteYaml(const Json::Value& aJson, const std::vector<std::string>& aOrder)
{
  YAML::Emitter emitter;
  emitter.SetIndent(2);
  if (aJson.isObject()) {
    EmitObject(emitter, aJson, aOrder);
  } else {
    Emit(emitter, aJson);
  }
  return std::string(emitter.c_str()) + "\n";
}

} // namespace jaylane::settings
