/** Names the rules of a simulation, each after its request class or call. */
import type { RuleName } from "../../ids/rulename.js";

/** Returns the name of the rule for the class or call `name`. */
export const ruleOf = (name: string): RuleName => name as RuleName;
