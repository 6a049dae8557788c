/**
 * Claims requests that must run at most once, keeps the claims in the table service and removes old
 * ones.
 */
package org.apricotstand.claims;
