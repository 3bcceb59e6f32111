#include "anvil/daemon/Settings.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <iostream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include <cxxopts.hpp>

#include "anvil/base/Port.h"
#include "anvil/daemon/Version.h"

namespace anvil::daemon {

namespace {

constexpr size_t MaxNameLength = 64;

std::string variableName(std::string_view Name) {
  std::string Variable = "ANVIL_";
  for (const char Character : Name)
    Variable += Character == '-' ? '_'
                                 : static_cast<char>(std::toupper(
                                       static_cast<unsigned char>(Character)));
  return Variable;
}

bool isNameCharacter(char Character) {
  return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
         Character == '-' || Character == '_' || Character == '.';
}

absl::Status invalid(std::string_view Message) {
  return absl::InvalidArgumentError(toAbsl(Message));
}

absl::Status checkName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameLength ||
      !std::all_of(Text.begin(), Text.end(), isNameCharacter))
    return invalid("must be 1 to 64 letters, digits, '-', '_' or '.'");
  return absl::OkStatus();
}

struct TimeUnit {
  std::string_view m_Suffix;
  int64_t m_Micros;
};

// Longer suffixes come first, so that "ms" is not read as "s".
constexpr TimeUnit Units[] = {{"us", 1},
                              {"ms", 1000},
                              {"s", 1000000},
                              {"m", 60000000},
                              {"h", 3600000000}};

} // namespace

Settings::Settings(std::string_view Program, std::string_view Description)
    : m_Program(Program), m_Description(Description) {}

void Settings::add(std::string_view Name, std::string_view Default,
                   std::string_view Help, SettingParser Parser,
                   Presence Needed) {
  m_Settings.push_back({std::string(Name), variableName(Name),
                        std::string(Default), std::string(Help),
                        std::move(Parser), Needed, false});
}

void Settings::addText(std::string_view Name, std::string_view Default,
                       std::string_view Help, std::string &Value,
                       Presence Needed) {
  auto Parse = [&Value](std::string_view Text) {
    Value = Text;
    return absl::OkStatus();
  };
  add(Name, Default, Help, Parse, Needed);
}

void Settings::addName(std::string_view Name, std::string_view Default,
                       std::string_view Help, std::string &Value,
                       Presence Needed) {
  auto Parse = [&Value](std::string_view Text) {
    Value = Text;
    return checkName(Text);
  };
  add(Name, Default, Help, Parse, Needed);
}

void Settings::addInteger(std::string_view Name, int64_t Default, int64_t Min,
                          int64_t Max, std::string_view Help, int64_t &Value) {
  auto Parse = [&Value, Min, Max](std::string_view Text) {
    int64_t Number = 0;
    if (!absl::SimpleAtoi(toAbsl(Text), &Number) || Number < Min ||
        Number > Max)
      return invalid(
          absl::StrCat("must be a whole number from ", Min, " to ", Max));
    Value = Number;
    return absl::OkStatus();
  };
  add(Name, absl::StrCat(Default), Help, Parse);
}

void Settings::addNumber(std::string_view Name, double Default, double Min,
                         double Max, std::string_view Help, double &Value) {
  auto Parse = [&Value, Min, Max](std::string_view Text) {
    double Number = 0;
    // The negated condition also rejects NaN.
    if (!absl::SimpleAtod(toAbsl(Text), &Number) ||
        !(Number >= Min && Number <= Max))
      return invalid(absl::StrCat("must be a number from ", Min, " to ", Max));
    Value = Number;
    return absl::OkStatus();
  };
  add(Name, absl::StrCat(Default), Help, Parse);
}

void Settings::addSwitch(std::string_view Name, std::string_view Help,
                         bool &Value, bool Default) {
  auto Parse = [&Value](std::string_view Text) {
    if (Text != "true" && Text != "false")
      return invalid("must be true or false");
    Value = Text == "true";
    return absl::OkStatus();
  };
  add(Name, Default ? "true" : "false", Help, Parse);
  m_Settings.back().m_Switch = true;
}

void Settings::addDuration(std::string_view Name, std::string_view Default,
                           Duration Min, Duration Max, std::string_view Help,
                           Duration &Value) {
  auto Parse = [&Value, Min, Max](std::string_view Text) {
    const absl::StatusOr<Duration> Parsed = parseDuration(Text);
    if (!Parsed.ok())
      return Parsed.status();
    if (*Parsed < Min || *Parsed > Max)
      return invalid(absl::StrCat("must be from ", formatDuration(Min), " to ",
                                  formatDuration(Max)));
    Value = *Parsed;
    return absl::OkStatus();
  };
  add(Name, Default, Help, Parse);
}

void Settings::addEndpoint(std::string_view Name, std::string_view Default,
                           std::string_view Help, net::Endpoint &Value,
                           Presence Needed) {
  auto Parse = [&Value](std::string_view Text) {
    const absl::StatusOr<net::Endpoint> Parsed = net::parseEndpoint(Text);
    if (!Parsed.ok())
      return invalid("must be ip:port or [ipv6]:port");
    Value = *Parsed;
    return absl::OkStatus();
  };
  add(Name, Default, Help, Parse, Needed);
}

void Settings::addEndpoints(std::string_view Name, std::string_view Default,
                            std::string_view Help,
                            std::vector<net::Endpoint> &Value,
                            Presence Needed) {
  auto Parse = [&Value](std::string_view Text) {
    const absl::StatusOr<std::vector<net::Endpoint>> Parsed =
        net::parseEndpoints(Text);
    if (!Parsed.ok())
      return invalid("must be a comma-separated list of ip:port");
    Value = *Parsed;
    return absl::OkStatus();
  };
  add(Name, Default, Help, Parse, Needed);
}

void Settings::addCheck(Check Rule) { m_Checks.push_back(std::move(Rule)); }

absl::StatusOr<Settings::FlagValues>
Settings::parseFlags(const std::vector<std::string> &Arguments) const {
  cxxopts::Options Flags(m_Program, m_Description);
  Flags.add_options()("help", "")("version", "")("check", "");
  for (const Setting &Each : m_Settings) {
    const auto Kind = cxxopts::value<std::string>();
    Flags.add_options()(Each.m_Name, "",
                        Each.m_Switch ? Kind->implicit_value("true") : Kind);
  }
  std::vector<const char *> Raw{m_Program.c_str()};
  for (const std::string &Argument : Arguments)
    Raw.push_back(Argument.c_str());
  try {
    const cxxopts::ParseResult Parsed =
        Flags.parse(static_cast<int>(Raw.size()), Raw.data());
    FlagValues Result;
    for (const cxxopts::KeyValue &Each : Parsed.arguments())
      Result.m_Values[Each.key()] = Each.value();
    Result.m_UnmatchedWords = Parsed.unmatched();
    return Result;
  } catch (const cxxopts::exceptions::exception &Error) {
    return invalid(Error.what());
  }
}

absl::Status Settings::readSetting(const Setting &Declared,
                                   const FlagValues &Flags,
                                   const Environment &GetVariable) const {
  std::string Value = Declared.m_Default;
  std::string Source = "default";
  if (const std::optional<std::string> FromEnvironment =
          GetVariable(Declared.m_Variable)) {
    Value = *FromEnvironment;
    Source = Declared.m_Variable;
  }
  if (const auto Flag = Flags.m_Values.find(Declared.m_Name);
      Flag != Flags.m_Values.end()) {
    Value = Flag->second;
    Source = "flag";
  }
  if (Value.empty() && Declared.m_Needed == Presence::Required)
    return invalid(absl::StrCat("--", Declared.m_Name, " (",
                                Declared.m_Variable, "): required"));
  if (Value.empty() && Source == "default")
    return absl::OkStatus();
  const absl::Status Status = Declared.m_Parser(Value);
  if (Status.ok())
    return absl::OkStatus();
  return invalid(absl::StrCat("--", Declared.m_Name, " (", Source,
                              "): ", Status.message(), ", not '", Value, "'"));
}

absl::StatusOr<StartMode>
Settings::read(const std::vector<std::string> &Arguments,
               const Environment &GetVariable) const {
  const absl::StatusOr<FlagValues> Flags = parseFlags(Arguments);
  if (!Flags.ok())
    return makeLayerError(absl::StatusCode::kInvalidArgument,
                          SettingsErrc::Invalid,
                          fromAbsl(Flags.status().message()));
  if (Flags->m_Values.contains("help"))
    return StartMode::ShowHelp;
  if (Flags->m_Values.contains("version"))
    return StartMode::ShowVersion;

  std::vector<std::string> Problems;
  const auto AddProblem = [&Problems](const absl::Status &Status) {
    if (!Status.ok())
      Problems.emplace_back(Status.message());
  };
  for (const std::string &Word : Flags->m_UnmatchedWords)
    Problems.push_back(absl::StrCat("'", Word, "': not a setting"));
  for (const Setting &Each : m_Settings)
    AddProblem(readSetting(Each, *Flags, GetVariable));
  // The checks assume that each setting is valid on its own.
  if (Problems.empty()) {
    for (const Check &Rule : m_Checks)
      AddProblem(Rule());
  }
  if (!Problems.empty())
    return makeLayerError(absl::StatusCode::kInvalidArgument,
                          SettingsErrc::Invalid,
                          absl::StrJoin(Problems, "\n  "));
  return Flags->m_Values.contains("check") ? StartMode::CheckOnly
                                           : StartMode::Run;
}

std::string Settings::help() const {
  std::string Text = absl::StrCat(m_Description, "\n\nUsage: ", m_Program,
                                  " [--NAME=VALUE ...]\n\n");
  for (const Setting &Each : m_Settings) {
    absl::StrAppend(&Text, "  --", Each.m_Name, Each.m_Switch ? "" : "=VALUE",
                    "  (", Each.m_Variable, ")\n      ", Each.m_Help);
    if (Each.m_Needed == Presence::Required && Each.m_Default.empty())
      absl::StrAppend(&Text, " Required.");
    else if (!Each.m_Default.empty())
      absl::StrAppend(&Text, " Default: ", Each.m_Default, ".");
    absl::StrAppend(&Text, "\n");
  }
  absl::StrAppend(&Text,
                  "  --check\n      Check the settings and exit.\n  --help\n   "
                  "   Show this text and exit.\n",
                  "  --version\n      Show the version and exit.\n");
  return Text;
}

std::optional<std::string> environmentVariable(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  if (Value == nullptr)
    return std::nullopt;
  return std::string(Value);
}

absl::StatusOr<Duration> parseDuration(std::string_view Text) {
  constexpr int64_t MaxMicros = int64_t{100} * 365 * 24 * 3600 * 1000000;
  for (const TimeUnit &Unit : Units) {
    if (!Text.ends_with(Unit.m_Suffix))
      continue;
    const std::string_view Digits =
        Text.substr(0, Text.size() - Unit.m_Suffix.size());
    int64_t Count = 0;
    if (Digits.empty() ||
        !std::all_of(Digits.begin(), Digits.end(), [](char Character) {
          return Character >= '0' && Character <= '9';
        }))
      break;
    if (!absl::SimpleAtoi(toAbsl(Digits), &Count) ||
        Count > MaxMicros / Unit.m_Micros)
      break;
    return Duration(Count * Unit.m_Micros);
  }
  return invalid("must be a whole number with the unit us, ms, s, m or h");
}

std::string formatDuration(Duration Value) {
  const int64_t Micros = Value.count();
  const TimeUnit *Best = &Units[0];
  for (const TimeUnit &Unit : Units) {
    if (Micros != 0 && Micros % Unit.m_Micros == 0)
      Best = &Unit;
  }
  return absl::StrCat(Micros / Best->m_Micros, toAbsl(Best->m_Suffix));
}

std::optional<int> finishStart(const Settings &Reader,
                               const absl::StatusOr<StartMode> &Mode,
                               std::string_view Program) {
  if (!Mode.ok()) {
    std::cerr << Program << ": " << Mode.status().message() << "\n";
    return 2;
  }
  switch (*Mode) {
  case StartMode::Run:
    return std::nullopt;
  case StartMode::CheckOnly:
    std::cout << Program << ": settings are valid\n";
    return 0;
  case StartMode::ShowHelp:
    std::cout << Reader.help();
    return 0;
  case StartMode::ShowVersion:
    std::cout << Program << " " << Version << "\n";
    return 0;
  }
  return 2;
}

} // namespace anvil::daemon
