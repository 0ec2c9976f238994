/** Rules of a model are named as its classes. */
import type { RuleName } from "../../ids/rulename.js";

/** The rule of a class or call. */
export const ruleOf = (name: string): RuleName => name as RuleName;
