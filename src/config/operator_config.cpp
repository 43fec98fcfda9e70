#include "config/operator_config.hpp"

#include <array>

#include "config/toml_table.hpp"

namespace merlinbridge::config {
namespace {

constexpr std::array kForms = std::to_array<std::pair<std::string_view, Log::Form>>(
    {{"text", Log::Form::text}, {"json", Log::Form::json}});
constexpr std::array kLevels = std::to_array<std::pair<std::string_view, Level>>(
    {{"debug", Level::debug}, {"info", Level::info}, {"warning", Level::warning}, {"error", Level::error}});

}  // namespace

OperatorConfig readOperatorConfig(const std::string& text, const std::string& file) {
  const toml::table root = config::parse(text, file);
  config::TomlTable t(root, "", file);
  OperatorConfig own;
  config::TomlTable log = t.part("log");
  own.form = log.oneOf<Log::Form>("form", own.form, kForms);
  own.level = log.oneOf<Level>("level", own.level, kLevels);
  log.done();
  config::TomlTable end = t.part("end");
  own.stillComing = end.duration("still_coming", own.stillComing);
  own.mostLife = end.duration("most_life", own.mostLife);
  if (own.mostLife < own.stillComing) end.blame("most_life", "a time no shorter than still_coming");
  end.done();
  config::TomlTable reload = t.part("reload");
  own.looks = reload.whole<int>("looks", own.looks, 0, 12);
  reload.done();
  t.done();
  return own;
}

}  // namespace merlinbridge::config
