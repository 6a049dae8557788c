/** Finds out which requests were running when engines crashed, and tells the other instances. */
package org.apricotstand.suspects;
