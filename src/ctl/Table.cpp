#include <algorithm>

#include <boost/json.hpp>

#include "absl/strings/str_cat.h"

#include "anvil/ctl/Cli.h"

namespace anvil::ctl {

namespace json = boost::json;

namespace {

std::string cellText(const json::value &Value) {
  if (Value.is_string())
    return std::string(Value.as_string());
  if (Value.is_null())
    return "-";
  return json::serialize(Value);
}

std::string padRight(const std::string &Text, size_t Width) {
  return Text.size() >= Width ? Text
                              : Text + std::string(Width - Text.size(), ' ');
}

std::string renderRows(const json::array &Rows) {
  std::vector<std::string> Names;
  for (const json::value &Row : Rows)
    if (Row.is_object())
      for (const auto &Field : Row.as_object())
        if (std::find(Names.begin(), Names.end(), Field.key()) == Names.end())
          Names.emplace_back(Field.key());
  std::vector<std::vector<std::string>> Lines = {Names};
  for (const json::value &Row : Rows) {
    std::vector<std::string> Cells;
    for (const std::string &Name : Names) {
      const json::value *Cell =
          Row.is_object() ? Row.as_object().if_contains(Name) : nullptr;
      Cells.push_back(Cell ? cellText(*Cell) : "-");
    }
    Lines.push_back(std::move(Cells));
  }
  std::vector<size_t> Widths(Names.size());
  for (const auto &Line : Lines)
    for (size_t I = 0; I < Line.size(); ++I)
      Widths[I] = std::max(Widths[I], Line[I].size());
  std::string Text;
  for (const auto &Line : Lines) {
    for (size_t I = 0; I < Line.size(); ++I)
      absl::StrAppend(&Text, I ? "  " : "",
                      I + 1 < Line.size() ? padRight(Line[I], Widths[I])
                                          : Line[I]);
    Text += "\n";
  }
  return Text;
}

bool isObjectArray(const json::value &Value) {
  return Value.is_array() && !Value.as_array().empty() &&
         Value.as_array().front().is_object();
}

bool isStringArray(const json::value &Value) {
  return Value.is_array() && !Value.as_array().empty() &&
         Value.as_array().front().is_string();
}

void appendFields(const json::object &Object, const std::string &Prefix,
                  size_t Width, std::string &Text) {
  for (const auto &Field : Object) {
    const std::string Name = Prefix + std::string(Field.key());
    if (Field.value().is_object()) {
      appendFields(Field.value().as_object(), Name + ".", Width, Text);
    } else if (isObjectArray(Field.value())) {
      absl::StrAppend(&Text, Name, ":\n", renderRows(Field.value().as_array()));
    } else if (isStringArray(Field.value())) {
      absl::StrAppend(&Text, Name, ":\n");
      for (const json::value &Element : Field.value().as_array())
        absl::StrAppend(&Text, "  ", cellText(Element), "\n");
    } else {
      const std::string Cell = cellText(Field.value());
      const bool IsMultiline = Cell.find('\n') != std::string::npos;
      absl::StrAppend(&Text, padRight(Name, Width), IsMultiline ? "\n" : "  ",
                      Cell, "\n");
    }
  }
}

} // namespace

std::string renderTable(std::string_view Json) {
  constexpr size_t NameWidth = 26;
  boost::system::error_code Error;
  const json::value Value =
      json::parse(json::string_view(Json.data(), Json.size()), Error);
  if (Error)
    return std::string(Json);
  if (isObjectArray(Value))
    return renderRows(Value.as_array());
  if (Value.is_array() && Value.as_array().empty())
    return "none\n";
  std::string Text;
  if (Value.is_object())
    appendFields(Value.as_object(), "", NameWidth, Text);
  else
    Text = json::serialize(Value) + "\n";
  return Text;
}

} // namespace anvil::ctl
