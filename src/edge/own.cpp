#include "edge/own.hpp"

#include <array>

#include "tables/table.hpp"

namespace merlinbridge::edge {
namespace {

constexpr std::array kForms = std::to_array<std::pair<std::string_view, Log::Form>>(
    {{"text", Log::Form::text}, {"json", Log::Form::json}});
constexpr std::array kLevels = std::to_array<std::pair<std::string_view, Level>>(
    {{"debug", Level::debug}, {"info", Level::info}, {"warning", Level::warning}, {"error", Level::error}});

}  // namespace

Own readOwn(const std::string& text, const std::string& file) {
  const toml::table root = tables::parse(text, file);
  tables::Table t(root, "", file);
  Own own;
  tables::Table log = t.part("log");
  own.form = log.oneOf<Log::Form>("form", own.form, kForms);
  own.level = log.oneOf<Level>("level", own.level, kLevels);
  log.done();
  tables::Table end = t.part("end");
  own.stillComing = end.span("still_coming", own.stillComing);
  own.mostLife = end.span("most_life", own.mostLife);
  if (own.mostLife < own.stillComing) end.blame("most_life", "a time no shorter than still_coming");
  end.done();
  tables::Table reload = t.part("reload");
  own.looks = reload.whole<int>("looks", own.looks, 0, 12);
  reload.done();
  t.done();
  return own;
}

}  // namespace merlinbridge::edge
